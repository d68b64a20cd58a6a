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
}

impl Habit {
    /// All that are wrong.
    pub const WRONG: [Self; 4] = [Self::Breaks, Self::Repeats, Self::Refuses, Self::Stalls];

    pub(crate) fn of(number: u8) -> Self {
        match number {
            0 => Self::Sound,
            number => Self::WRONG[usize::from(number - 1) % Self::WRONG.len()],
        }
    }

    pub(crate) fn number(self) -> u8 {
        let place = Self::WRONG.iter().position(|habit| *habit == self);
        place.map_or(0, |place| place as u8 + 1)
    }
}
