//! Environment variables as the second source of a process's settings.
//!
//! The argument parser reads no environment. This layer gives every flag `--some-flag` the variable
//! `BERGAMOTSHIFT_SOME_FLAG`; a flag on the command line goes before its variable.
//!
//! ```
//! use bergamotshift::environment::Environment;
//! use bergamotshift::environment::variable;
//!
//! let environment = Environment::from_pairs([("BERGAMOTSHIFT_ZONE", "utrecht-hall")]);
//! let mut zone = None;
//! environment.fill(&mut [("zone", &mut zone)]);
//! assert_eq!(zone.as_deref(), Some("utrecht-hall"));
//! assert_eq!(variable("log-level"), "BERGAMOTSHIFT_LOG_LEVEL");
//! ```

use std::collections::BTreeMap;

/// What every variable's name begins with.
const PREFIX: &str = "BERGAMOTSHIFT_";

/// A flag's name without its dashes, and the place of its text.
pub type Field<'a> = (&'static str, &'a mut Option<String>);

/// Arguments whose flags can be filled from the environment.
pub trait Fields {
    /// Returns every flag that takes a value, with the place of its text.
    fn fields(&mut self) -> Vec<Field<'_>>;
}

/// The variables that a process was started with.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    variables: BTreeMap<String, String>,
}

impl Environment {
    /// Takes this process's variables; those that aren't valid text are passed over.
    pub fn of_process() -> Self {
        let text = |(name, value): (std::ffi::OsString, std::ffi::OsString)| {
            Some((name.into_string().ok()?, value.into_string().ok()?))
        };
        Self {
            variables: std::env::vars_os().filter_map(text).collect(),
        }
    }

    /// Makes an environment from pairs of name and value.
    pub fn from_pairs<const N: usize>(pairs: [(&str, &str); N]) -> Self {
        let variables = pairs
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        Self { variables }
    }

    /// Fills each field that the command line left open; an empty variable counts as not set.
    pub fn fill(&self, fields: &mut [Field<'_>]) {
        for (flag, text) in fields {
            if text.is_none() {
                **text = self
                    .variables
                    .get(&variable(flag))
                    .filter(|value| !value.is_empty())
                    .cloned();
            }
        }
    }
}

/// Returns the variable that stands for a flag.
pub fn variable(flag: &str) -> String {
    let upper = flag.to_ascii_uppercase().replace('-', "_");
    format!("{PREFIX}{upper}")
}
