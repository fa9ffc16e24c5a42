//! All that a proxy knows and decides, without sockets, files or clocks.
//!
//! | file | what it owns |
//! | --- | --- |
//! | `state` | configuration, tables, retry budgets, and the controllers that publish them |
//! | `effect` | what is to be done about it |
//! | `lifecycle` | one request from its head to its answer |
//! | `attempt` | how one attempt ended, and whether it may be sent again at once |
//! | `response` | what the head of an instance's answer is worth |
//! | `load_counters` | what is counted for the next load report |

#![warn(missing_docs)]

mod attempt;
mod effect;
mod lifecycle;
mod load_counters;
mod response;
mod state;

pub use attempt::{AttemptEnd, Resend, SendFailure};
pub use effect::Effect;
pub use lifecycle::{AfterAttempt, LocalResponse, NextStep, RequestLifecycle, RouteDecision};
pub use response::{ResponseHead, Verdict, evaluate};
pub use state::{ProxyStart, ProxyState};
