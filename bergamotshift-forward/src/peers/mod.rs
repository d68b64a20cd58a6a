//! Communication between entries.
//!
//! Entries exchange their states several times a second. That is enough to share limits and endpoints, to learn of
//! endpoints that leave, and to keep working with the newest document while some entries cannot reach the store. A
//! document can be large, so it is transferred by a call of its own.

mod holders;
pub mod keep;
mod keepers;
mod listing;
mod member;
mod message;
mod network;
mod origins;
mod permit;
mod process;
mod question;
mod rounds;
mod task;
mod turns;
pub mod update;

pub use self::holders::Holder;
pub use self::holders::Source;
pub use self::keep::PATH as KEEP_PATH;
pub use self::keep::answer_keep;
pub use self::member::Contact;
pub use self::member::Members;
pub use self::member::Peer;
pub use self::message::Echo;
pub use self::message::Freshness;
pub use self::message::InFlight;
pub use self::message::Loss;
pub use self::message::Member;
pub use self::message::Note;
pub use self::message::Question;
pub use self::message::Rate;
pub use self::message::Registrations;
pub use self::message::Reply;
pub use self::message::Rollout;
pub use self::message::Stage;
pub use self::message::State;
pub use self::message::Times;
pub use self::message::Tolerance;
pub use self::message::Usage;
pub use self::network::Error;
pub use self::network::Network;
pub use self::network::Tcp;
pub use self::origins::Origins;
pub use self::origins::PATH as ORIGINS_PATH;
pub use self::origins::answer_origins;
pub use self::permit::PATH as PERMIT_PATH;
pub use self::permit::Permits;
pub use self::permit::answer_permit;
pub use self::process::Process;
pub use self::rounds::Round;
pub use self::rounds::Rounds;
pub use self::task::answer_exchange;
pub use self::task::answer_queries;
pub use self::task::run;
pub use self::update::Offer;
pub use self::update::PATH as DOCUMENT_PATH;
pub use self::update::Transfer;
pub use self::update::Update;
pub use self::update::answer_document;
