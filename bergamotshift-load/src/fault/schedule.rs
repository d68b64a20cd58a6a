//! Faults and their times, as a TOML file holds them.

use core::time::Duration;

use bergamotshift_core::name;
use serde::Deserialize;
use smol_str::SmolStr;

use super::Action;
use super::Error;
use super::Place;
use super::Trouble;

const MAX_TIME: Duration = Duration::from_hours(1);
const MAX_SENDS: u32 = 32;
const DEFAULT_SENDS: u32 = 4;

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// The fault.
    pub action: Action,
}

/// The faults of a run, in the order of their times.
///
/// ```
/// use bergamotshift_load::fault::Schedule;
///
/// let schedule: Schedule = r#"
///     [[fault]]
///     at_ms = 3000
///     action = "reclaim"
///     zone = "amsterdam-hall"
///     span_ms = 5000
///
///     [[fault]]
///     at_ms = 4000
///     action = "platform"
///     trouble = "slow"
///     amount = 200
///     span_ms = 2000
/// "#
/// .parse()?;
/// assert_eq!(schedule.steps().len(), 2);
/// # Ok::<(), bergamotshift_load::fault::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule(Vec<Step>);

impl Schedule {
    /// Makes a schedule from its steps, in any order.
    pub fn new(mut steps: Vec<Step>) -> Self {
        steps.sort_by_key(|step| step.at);
        Self(steps)
    }

    /// Returns the steps in the order of their times.
    pub fn steps(&self) -> &[Step] {
        &self.0
    }

    /// Returns whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Checks that all times are bounded.
    ///
    /// # Errors
    ///
    /// Returns the first fault whose beginning or end lies too late.
    pub fn validate(&self) -> Result<(), Error> {
        for (place, step) in self.0.iter().enumerate() {
            let end = step.at.saturating_add(step.action.span().unwrap_or_default());
            if end > MAX_TIME {
                return Err(field(place + 1, "ends later than an hour after the run's start"));
            }
            if matches!(step.action, Action::Poison { sends, .. } if sends > MAX_SENDS) {
                return Err(field(place + 1, format!("sends more than {MAX_SENDS} times")));
            }
        }
        Ok(())
    }
}

impl core::str::FromStr for Schedule {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let file: File = toml::from_str(text)?;
        let steps = file
            .fault
            .into_iter()
            .enumerate()
            .map(|(place, line)| line.step(place + 1));
        let schedule = Self::new(steps.collect::<Result<_, _>>()?);
        schedule.validate()?;
        Ok(schedule)
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    fault: Vec<Line>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Name {
    Reclaim,
    Kill,
    Pause,
    Platform,
    Cut,
    Poison,
}

/// One fault as it is written.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: u64,
    action: Name,
    endpoint: Option<name::Vm>,
    entry: Option<name::Entry>,
    zone: Option<name::Zone>,
    zones: Option<[name::Zone; 2]>,
    span_ms: Option<u64>,
    trouble: Option<Trouble>,
    amount: Option<u32>,
    path: Option<SmolStr>,
    model: Option<name::Model>,
    marker: Option<SmolStr>,
    sends: Option<u32>,
}

impl Line {
    fn step(mut self, number: usize) -> Result<Step, Error> {
        let action = self.action(number)?;
        if let Some(name) = self.leftover() {
            return Err(field(number, format!("{name} has no meaning for this action")));
        }
        Ok(Step {
            at: Duration::from_millis(self.at_ms),
            action,
        })
    }

    fn action(&mut self, number: usize) -> Result<Action, Error> {
        Ok(match self.action {
            Name::Reclaim => Action::Reclaim {
                place: self.place(number)?,
                notice: self.span(number)?,
            },
            Name::Kill => Action::Kill {
                place: self.place(number)?,
            },
            Name::Pause => Action::Pause {
                place: self.place(number)?,
                span: self.span(number)?,
            },
            Name::Platform => {
                let trouble = require(self.trouble.take(), number, "trouble")?;
                let amount = match trouble {
                    Trouble::Down => 0,
                    Trouble::Slow | Trouble::LosingAnswers => require(self.amount.take(), number, "amount")?,
                };
                Action::Platform {
                    trouble,
                    amount,
                    span: self.span(number)?,
                }
            }
            Name::Cut => Action::Cut {
                zones: require(self.zones.take(), number, "zones")?,
                span: self.span(number)?,
            },
            Name::Poison => Action::Poison {
                path: self.path.take().unwrap_or_default(),
                model: self.model.take().unwrap_or_default(),
                marker: require(self.marker.take(), number, "marker")?,
                sends: self.sends.take().unwrap_or(DEFAULT_SENDS),
            },
        })
    }

    fn span(&mut self, number: usize) -> Result<Duration, Error> {
        require(self.span_ms.take(), number, "span_ms").map(Duration::from_millis)
    }

    fn place(&mut self, number: usize) -> Result<Place, Error> {
        match (self.endpoint.take(), self.entry.take(), self.zone.take()) {
            (Some(endpoint), None, None) => Ok(Place::Endpoint(endpoint)),
            (None, Some(entry), None) => Ok(Place::Entry(entry)),
            (None, None, Some(zone)) => Ok(Place::Zone(zone)),
            _ => Err(field(number, "exactly one of endpoint, entry and zone is needed")),
        }
    }

    /// Returns a field that was given and not used.
    fn leftover(&self) -> Option<&'static str> {
        let fields = [
            ("endpoint", self.endpoint.is_some()),
            ("entry", self.entry.is_some()),
            ("zone", self.zone.is_some()),
            ("zones", self.zones.is_some()),
            ("span_ms", self.span_ms.is_some()),
            ("trouble", self.trouble.is_some()),
            ("amount", self.amount.is_some()),
            ("path", self.path.is_some()),
            ("model", self.model.is_some()),
            ("marker", self.marker.is_some()),
            ("sends", self.sends.is_some()),
        ];
        fields.iter().find(|(_, given)| *given).map(|(name, _)| *name)
    }
}

fn require<T>(value: Option<T>, number: usize, name: &str) -> Result<T, Error> {
    value.ok_or_else(|| field(number, format!("{name} is missing")))
}

fn field(number: usize, reason: impl Into<String>) -> Error {
    Error::Field {
        number,
        reason: reason.into(),
    }
}
