//! Outcomes of attempts that leave no usable response.

/// Why an attempt has no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The engine accepted no connection, so no byte reached it.
    Unsent,
    /// The engine runs, but accepted no connection, so no byte reached it.
    Busy,
    /// The engine asked meanwhile for no further request, so no byte was sent.
    Declined,
    /// This host reached neither the engine nor anything else, so no byte was sent.
    NoContact,
    /// The engine failed the request with a status that tells callers that it did not run, without saying so
    /// itself.
    UnstatedRefusal,
    /// The engine reports that it did not run the request.
    NotRun,
    /// Another engine listens on the address; it did not run the request.
    OtherEngine,
    /// The response was lost, or does not come from the engine.
    Lost,
    /// The engine did not respond in time.
    Silent,
    /// The engine was declared lost together with everything that runs on it.
    EngineLost,
}

impl Fault {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            Self::Unsent
                | Self::Busy
                | Self::Declined
                | Self::NoContact
                | Self::NotRun
                | Self::OtherEngine
        )
    }

    /// Returns the name of the fault in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Busy => "busy",
            Self::Declined => "declined",
            Self::NoContact => "no-contact",
            Self::UnstatedRefusal => "unstated-refusal",
            Self::NotRun => "not-run",
            Self::OtherEngine => "other-engine",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::EngineLost => "engine-lost",
        }
    }
}
