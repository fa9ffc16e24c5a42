//! State and decisions of a proxy, without sockets, files or clocks.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `state` | configuration, endpoint tables, retry budgets, and messages from controllers |
//! | `revocation` | the lease on the API keys, and the questions to controllers that extend it |
//! | `effect` | effects that the caller has to perform |
//! | `credentials` | the API key in the `Authorization` headers of a request |
//! | `authentication` | the tenant of a request, and whether it may be executed |
//! | `rejected_requests` | counts of requests without a known key, and their log line |
//! | `lifecycle` | routing, attempts and response of one request |
//! | `attempt` | how an attempt ended, and whether it can be resent immediately |
//! | `response` | validation of response heads |
//! | `load_counters` | counters for the load report |
//! | `usage` | requests of each tenant that began to run, by window |

#![warn(missing_docs)]

mod attempt;
mod authentication;
mod credentials;
mod effect;
mod lifecycle;
mod load_counters;
mod rejected_requests;
mod response;
mod revocation;
mod state;
mod usage;

pub use attempt::{AttemptEnd, Resend, SendFailure};
pub use credentials::Credentials;
pub use effect::Effect;
pub use lifecycle::{
    AfterAttempt, LocalResponse, NextStep, RequestLifecycle, RouteDecision, RouteRequest,
};
pub use response::{ResponseHead, Verdict, evaluate};
pub use state::{ProxyStart, ProxyState};
pub use usage::UsageStart;
