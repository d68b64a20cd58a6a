//! A randomised soak: whole daemons as processes of their own, harmed from outside.
//!
//! A [`plan`] drawn from a seed says what happens when: processes are killed, paused, stopped and started; connections
//! are cut, delayed and reset by a [`proxy`]; the store refuses calls, loses answers and forgets its history; endpoints
//! crash, leave and answer wrongly; the operators change their document. Meanwhile callers send requests over
//! connections that they keep. What they and the endpoints see stands in a [`ledger`], and the [`promise`]s are checked
//! against it.

pub mod answer;
pub mod caller;
pub mod crash;
pub mod crowd;
pub mod cut;
pub mod demand;
pub mod endpoint;
pub mod engine;
pub mod fleet;
pub mod habit;
pub mod ledger;
pub mod notice;
pub mod owner;
pub mod pause;
pub mod plan;
pub mod process;
pub mod promise;
pub mod proxy;
pub mod release;
pub mod run;
pub mod site;
mod statement;

pub use self::run::Report;
pub use self::run::Settings;
pub use self::run::run;
