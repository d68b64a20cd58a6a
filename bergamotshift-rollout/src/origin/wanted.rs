//! Versions that a request may go to.

/// Versions of endpoints that a request may go to; `V` is a version as its endpoints state it.
///
/// What two versions write does not fit together, so a stream goes on only at an endpoint that states what the one stated
/// that began it. An endpoint that states nothing is the same as another one that states nothing, and differs from one that
/// states a version.
///
/// ```
/// use bergamotshift_rollout::origin::Wanted;
///
/// let wanted = Wanted::new(Some("v1"), true);
/// assert!(wanted.admits("v1", false));
/// assert!(!wanted.admits("v2", true));
/// assert!(!wanted.admits("", true));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Wanted<V> {
    /// Any version.
    #[default]
    Any,
    /// Those at which streams may begin.
    Declared,
    /// The one that began its stream.
    Same(V),
}

impl<V: Copy + Eq> Wanted<V> {
    /// Returns the versions for a request whose stream `began` at one, or has not begun yet and `needs_declaration`.
    pub fn new(began: Option<V>, needs_declaration: bool) -> Self {
        match began {
            Some(version) => Self::Same(version),
            None if needs_declaration => Self::Declared,
            None => Self::Any,
        }
    }

    /// Returns whether the request may go to a version, or goes on at it.
    pub fn admits(self, version: V, is_declared: bool) -> bool {
        match self {
            Self::Any => true,
            Self::Declared => is_declared,
            Self::Same(began) => began == version,
        }
    }
}
