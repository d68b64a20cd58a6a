//! Versions that engines state in their streams.

use serde::Deserialize;

use crate::engine::event::Event;

/// Version of an engine as an event of its stream states it. An engine that states none has the default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Version {
    /// Model that answers, which may be more precise than the requested name.
    pub model: Option<String>,
    /// Fingerprint of the model's weights and of the software that runs it.
    #[serde(rename = "system_fingerprint")]
    pub fingerprint: Option<String>,
}

impl Version {
    /// Returns the version that an event states; `None` if the event has no data, such as a comment.
    ///
    /// ```
    /// use bergamotshift_endpoint::engine::event::Event;
    /// use bergamotshift_endpoint::engine::version::Version;
    ///
    /// let event = |lines: &'static str| Event::new(lines.into());
    /// let version = Version::of(&event(r#"data: {"model":"m","system_fingerprint":"fp_1","choices":[]}"#));
    /// assert_eq!(version.and_then(|version| version.fingerprint), Some("fp_1".to_owned()));
    /// assert_eq!(Version::of(&event(r#"data: {"system_fingerprint":null}"#)), Some(Version::default()));
    /// assert_eq!(Version::of(&event(": waiting")), None);
    /// ```
    pub fn of(event: &Event) -> Option<Self> {
        let data = event.data()?;
        Some(serde_json::from_slice(data).unwrap_or_default())
    }
}
