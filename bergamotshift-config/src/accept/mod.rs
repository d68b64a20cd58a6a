//! Protocol by which a configuration is proposed, staged in the availability zones and accepted. It performs no I/O.
//!
//! A [`Proposer`] carries out one operator's change: it stores the content, writes the only proposal that the head row
//! can hold, waits until every live availability zone has staged the content, and accepts it in one conditional
//! transaction. A [`Member`] runs in every entry: it receives heads from the platform and from peers, fetches and stages
//! proposed content, and switches to accepted versions, never to a lower one. Both are state machines that take events
//! with the current time and return actions. The caller performs the actions and answers them with events, as stated
//! at [`member::Event`] and [`proposer::Event`].
//!
//! The rows in the platform's table ([`record`]) are the only source of truth.

pub mod member;
pub mod proposer;
pub mod record;
mod timing;

pub use member::Member;
pub use proposer::Proposer;
pub use record::Head;
pub use record::View;
pub use timing::Timing;
