//! Why the prompt of a stream is prefilled once more, for logs and metrics.

use super::inquiry::Missing;

/// Why an attempt cannot go on from the memory of an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The earlier engine was given up before its first event, so there is no replica yet.
    BeforeOutput,
    /// No replica was ordered, as no engine had room for one.
    NoReplica,
    /// The engine that held the replica is lost, is leaving, or accepts no requests for now.
    ReplicaLost,
    /// The engine that was to hold the replica has none.
    ReplicaRefused,
    /// The earlier run belonged to another host and is not known here, or not for certain.
    UnknownRun,
}

impl Cause {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BeforeOutput => "before-output",
            Self::NoReplica => "no-replica",
            Self::ReplicaLost => "replica-lost",
            Self::ReplicaRefused => "replica-refused",
            Self::UnknownRun => "unknown-run",
        }
    }
}

impl From<Missing> for Cause {
    fn from(missing: Missing) -> Self {
        match missing {
            Missing::Replica => Self::NoReplica,
            Missing::Run
            | Missing::Distinction
            | Missing::End
            | Missing::Confirmation
            | Missing::History => Self::UnknownRun,
        }
    }
}

/// How an attempt ended, or that its engine has begun to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine answered.
    Answered,
    /// The engine may have begun to prefill the prompt.
    MayHaveRun,
    /// The engine did not run the request.
    NotRun,
}

/// Finds out which attempts of one stream prefill its prompt once more.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Why the next attempt without a replica prefills the prompt once more; `None` if none has
    /// prefilled it yet.
    cause: Option<Cause>,
}

impl Tracker {
    /// Creates the tracker of a stream that begins at this host, or that continues a run of another
    /// host whose replica is `missing`.
    pub fn new(missing: Option<Missing>) -> Self {
        Self {
            cause: missing.map(Into::into),
        }
    }

    /// Records that the engine was given up after it had begun to answer.
    pub fn record_broken(&mut self, has_output: bool, has_replica: bool) {
        self.cause = match (has_output, has_replica) {
            (false, _) => Some(Cause::BeforeOutput),
            (true, false) => Some(Cause::NoReplica),
            (true, true) => None,
        };
    }

    /// Records that the engine that holds the replica cannot be used.
    pub fn record_replica_lost(&mut self) {
        self.cause = Some(Cause::ReplicaLost);
    }

    /// Records an attempt, from a replica if `is_resumed`. Returns why it prefilled the prompt once
    /// more, if it did.
    pub fn record_attempt(&mut self, is_resumed: bool, outcome: Outcome) -> Option<Cause> {
        let prefilled = (!is_resumed && outcome != Outcome::NotRun).then_some(self.cause);
        self.cause = match (is_resumed, outcome) {
            (_, Outcome::Answered) => None,
            (true, Outcome::NotRun) => Some(Cause::ReplicaRefused),
            (true, Outcome::MayHaveRun) => Some(Cause::ReplicaLost),
            (false, Outcome::MayHaveRun) => Some(Cause::BeforeOutput),
            (false, Outcome::NotRun) => self.cause,
        };
        prefilled.flatten()
    }
}

#[cfg(test)]
mod tests;
