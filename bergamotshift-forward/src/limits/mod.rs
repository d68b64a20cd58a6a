//! Limits of organisations over all entries together.
//!
//! Each entry may use a share of an organisation's limit. The shares follow demand: entries announce the demand of
//! their callers to one another, and all compute the same shares from it. An entry that falls silent is assumed to keep
//! the share that it had, so the shares never add up to more than the whole, even while entries are cut off from one
//! another.

mod account;
pub mod granter;
pub mod keeper;
mod retries;
mod share;
pub mod shortage;
pub mod tail;

pub use self::account::Account;
pub use self::account::INITIAL_DEBT_CALM;
pub use self::account::Quota;
pub use self::account::Refused;
pub use self::keeper::Keeper;
pub use self::keeper::Keepers;
pub use self::retries::retry_share;
pub use self::share::Demand;
pub use self::share::Policy;
pub use self::share::Share;
