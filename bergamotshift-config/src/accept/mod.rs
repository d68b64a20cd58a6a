//! How a configuration becomes the accepted one, without I/O.
//!
//! A [`Proposer`] carries one operator's change: it stores the content, takes the one open place in the head row, waits
//! until every live availability zone has staged the content, and accepts it by one conditional transaction. A
//! [`Member`] runs in every entry: it learns of heads from the platform and from peers, fetches and stages proposed
//! content, and switches to accepted versions, only ever upwards. Both take events with the current time and give
//! actions; the shell carries the actions out and always answers each with one event.
//!
//! The rows ([`record`]) in the platform's table are the only place where anything is agreed.

pub mod member;
pub mod proposer;
pub mod record;
mod timing;

pub use member::Member;
pub use proposer::Proposer;
pub use record::Head;
pub use record::View;
pub use timing::Timing;
