//! Errors of operators' commands.

/// Error of an operator's command. The variant determines the exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The request was refused by this command, by the state service or by the leader.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The state service was unreachable; nothing was changed.
    #[error("not reached: {0}; nothing was changed")]
    Unreachable(UnreachableReason),
    /// It is unknown whether the request was or will be carried out.
    #[error("in doubt: {0}")]
    InDoubt(Uncertainty),
}

/// Why a request was refused.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("`{0}` is no name for a drain: up to 40 of a to z, 0 to 9 and -")]
    InvalidName(String),
    #[error("there is another drain {0}; choose another name")]
    NameTaken(String),
    #[error("there is no drain {0}")]
    NoSuchDrain(String),
    #[error("drain {0} is already done")]
    Done(String),
    #[error("drain {0} was refused by the leader and cannot be changed")]
    DrainRefused(String),
    #[error("drain {0} was cancelled and cannot be changed")]
    Cancelled(String),
    #[error("drain {0} was done before the change took effect")]
    DoneBeforeChange(String),
    #[error("drain {0} is being changed by other operators; nothing was changed, try again")]
    ConcurrentChanges(String),
    /// The leader refused the request for this reason.
    #[error("{0}")]
    ByLeader(String),
    #[error("the value of key {0} in the state service cannot be decoded")]
    UndecodableValue(String),
    #[error("the state service responded to the request with HTTP status {0}")]
    StoreStatus(u16),
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
}

/// Why the state service counts as unreachable.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnreachableReason {
    #[error("the state service does not answer")]
    NoResponse,
    #[error("the state service answers {0}")]
    Status(u16),
    #[error("the response of the state service cannot be decoded")]
    UndecodableResponse,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Uncertainty {
    #[error(
        "the state service did not answer: the request may have been carried out, or may yet be; `drain status {0}` will tell"
    )]
    WriteWithoutResponse(String),
    #[error(
        "the request stands, but no leader has taken it up within {waited_s} s; it will as soon as one leads that has \
         [drains] enabled = yes and has heard of all machines; `drain status {name}` will tell"
    )]
    NotAccepted { name: String, waited_s: u64 },
}
