//! How endpoints misbehave.

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// As it should.
    Sound,
    /// It breaks off within its answer.
    Breaks,
    /// It sends the answer to a request twice.
    Repeats,
    /// It refuses before it runs anything.
    Refuses,
    /// It takes the request and says nothing for long.
    Stalls,
    /// It runs the request and fails it, with a status that elsewhere says that it did not run.
    Fails,
    /// It runs the request and stops within the head of its answer.
    Stops,
}

impl Habit {
    /// The wrong ones of every run.
    pub const WRONG: [Self; 4] = [Self::Breaks, Self::Repeats, Self::Refuses, Self::Stalls];

    /// Those of requests that it runs and does not answer with success.
    pub const FAILING: [Self; 2] = [Self::Fails, Self::Stops];

    fn wrong() -> impl Iterator<Item = Self> {
        Self::WRONG.into_iter().chain(Self::FAILING)
    }

    pub(crate) fn of(number: u8) -> Self {
        let wrong = usize::from(number).checked_sub(1);
        wrong.and_then(|place| Self::wrong().nth(place)).unwrap_or(Self::Sound)
    }

    pub(crate) fn number(self) -> u8 {
        let place = Self::wrong().position(|habit| habit == self);
        place.map_or(0, |place| place as u8 + 1)
    }
}
