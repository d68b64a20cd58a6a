//! Commonly used types of the crate.

pub use crate::detector::Detector;
pub use crate::directive::Directive;
pub use crate::directive::Phase;
pub use crate::director::Director;
pub use crate::director::Observation;
pub use crate::evidence::Answer;
pub use crate::evidence::Evidence;
pub use crate::evidence::Group;
pub use crate::order::Order;
pub use crate::order::State;
pub use crate::settings::Settings;
pub use crate::tracker::Admission;
pub use crate::tracker::Tracker;
