//! What the head of a task's answer is worth.

/// What matters of a head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    /// It bears the id of the request that it answers, once.
    pub own: bool,
    pub not_executed: bool,
    pub stamped: bool,
    pub encoded: bool,
    /// It says in one way where its body ends.
    pub sized: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Worth {
    /// It may go to the client once its body is whole.
    Good,
    /// The task says that it didn't run the request.
    NotExecuted,
    /// The same, since it is another task than the one meant.
    Stranger,
    /// A promise that the task didn't make good by saying that it didn't run the request.
    EmptyPromise,
    /// It isn't the answer to this request.
    Spoilt,
}

/// An answer is passed on only under this request's id: a late one may stand in the place of the next.
pub fn worth(head: Head) -> Worth {
    let success = (200..300).contains(&head.status);
    if !head.own || head.status < 200 {
        return Worth::Spoilt;
    }
    if head.status == 421 {
        return Worth::Stranger;
    }
    if head.not_executed {
        return if success {
            Worth::Spoilt
        } else {
            Worth::NotExecuted
        };
    }
    if matches!(head.status, 408 | 429 | 503) {
        return Worth::EmptyPromise;
    }
    let whole = (!success || head.stamped) && !head.encoded && head.sized;
    if whole { Worth::Good } else { Worth::Spoilt }
}
