//! What the entries tell one another, directly and often: enough to share limits and endpoints, to know of endpoints
//! that leave, and to go on with the newest document while some of them cannot reach the store. A document itself may be
//! large, and has a call of its own.

mod holders;
pub mod keep;
mod keepers;
mod member;
mod message;
mod permit;
mod question;
mod rounds;
mod task;
pub mod update;

pub use self::holders::Holder;
pub use self::holders::Source;
pub use self::keep::PATH as KEEP;
pub use self::keep::keep;
pub use self::member::Listed;
pub use self::member::Members;
pub use self::member::Peer;
pub use self::message::Flown;
pub use self::message::Known;
pub use self::message::Named;
pub use self::message::Note;
pub use self::message::Rate;
pub use self::message::Reply;
pub use self::message::Rollout;
pub use self::message::Stage;
pub use self::message::State;
pub use self::message::Use;
pub use self::permit::PATH as PERMIT;
pub use self::permit::Permits;
pub use self::permit::permit;
pub use self::rounds::Round;
pub use self::rounds::Rounds;
pub use self::task::answer;
pub use self::task::run;
pub use self::update::Offer;
pub use self::update::PATH as DOCUMENT;
pub use self::update::Update;
pub use self::update::give;
