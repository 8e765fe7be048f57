//! Errors that reach a person at the command line.

/// A failure with the exit code that reports it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The input was refused and nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// Another publisher changed the configuration first.
    #[error("{0}")]
    Raced(String),
    /// The outcome of the operation is not known.
    #[error("{0}")]
    Unknown(String),
}

impl Error {
    /// Returns the exit code of the process: 2 refused, 3 raced, 4 unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 2,
            Self::Raced(_) => 3,
            Self::Unknown(_) => 4,
        }
    }
}
