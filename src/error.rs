//! Errors of the command line and their exit codes.

/// A failure with its own exit code.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The input was rejected and nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// The configuration was changed concurrently by another publisher.
    #[error("{0}")]
    Raced(String),
    /// The operation may or may not have taken effect.
    #[error("{0}")]
    Unknown(String),
}

impl Error {
    /// Returns the exit code of the process: 2 for `Refused`, 3 for `Raced`, 4 for `Unknown`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 2,
            Self::Raced(_) => 3,
            Self::Unknown(_) => 4,
        }
    }
}
