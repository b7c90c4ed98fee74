//! Why an operator's command did not do what was asked.

/// Why a command did not do what was asked. The kind decides the exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The request was not accepted.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The state service was not reached; nothing was changed.
    #[error("not reached: {0}; nothing was changed")]
    NotReached(Unreached),
    /// Whether the request was or will be carried out is not known.
    #[error("in doubt: {0}")]
    InDoubt(Doubt),
}

/// Why a request was not accepted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("`{0}` is no name for a drain: up to 40 of a to z, 0 to 9 and -")]
    InvalidName(String),
    #[error("there is another drain {0}; choose another name")]
    NameTaken(String),
    #[error("there is no drain {0}")]
    NoSuchDrain(String),
    #[error("drain {0} is done")]
    Done(String),
    #[error("drain {0} was refused")]
    DrainRefused(String),
    #[error("drain {0} was called off")]
    Cancelled(String),
    #[error("drain {0} was done before")]
    DoneBefore(String),
    #[error("others are changing drain {0}; nothing was changed, try again")]
    ConcurrentChanges(String),
    /// The leader's reason.
    #[error("{0}")]
    ByLeader(String),
    #[error("what stands under {0} cannot be read")]
    UnreadableValue(String),
    #[error("the state service answers {0} to the request")]
    StoreStatus(u16),
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
}

/// Why the state service was not reached.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Unreached {
    #[error("the state service does not answer")]
    NoAnswer,
    #[error("the state service answers {0}")]
    Status(u16),
    #[error("the state service's answer cannot be read")]
    UnreadableAnswer,
}

/// Why the outcome of a request is not known.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Doubt {
    #[error(
        "the state service did not answer: the request may have been carried out, or may yet be; `drain status {0}` will tell"
    )]
    WriteUnanswered(String),
    #[error(
        "the request stands, but no leader has taken it up within {waited_s} s; it will as soon as one leads that has \
         [drains] enabled = yes and has heard of all machines; `drain status {name}` will tell"
    )]
    NotAccepted { name: String, waited_s: u64 },
}
