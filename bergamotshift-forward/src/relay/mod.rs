//! Requests that pass through another entry, because their own entry reaches no endpoint.
//!
//! An entry that cannot open connections to the endpoints of a service ([`Reach`]) asks another entry for a tunnel to one
//! of them ([`open`]), which that entry opens and copies bytes through ([`serve`]). Only the bytes pass through: the key is
//! checked, the quota charged and retries are counted by the entry that the caller reached, and what it learns from a
//! connection holds for a tunnel too. An entry opens tunnels to registered endpoints only, and none while it is cut off
//! itself, so a request passes through one other entry at most.

mod candidate;
mod open;
mod probe;
mod reach;
mod serve;

pub use self::candidate::Candidate;
pub use self::candidate::Candidates;
pub use self::open::Error;
pub use self::open::open;
pub use self::probe::is_reached;
pub use self::probe::probe;
pub use self::probe::stays_open;
pub use self::reach::Reach;
pub use self::serve::serve;
