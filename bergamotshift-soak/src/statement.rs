//! What endpoints say of themselves.

use core::time::Duration;

use bergamotshift_forward::dialect::Dialect;

/// What an endpoint says of itself in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Notice {
    /// Nothing.
    #[default]
    Quiet,
    /// The requests a minute that it takes from all entries together.
    Rate(u32),
    /// That it leaves.
    Leaves,
    /// It turns requests away, and wants nothing from that entry for so long.
    Pause(Duration),
    /// How many requests it may reject in a second, from all entries together; it has little room meanwhile.
    Tolerates(u32),
}

impl Notice {
    /// Returns the header lines that say so.
    pub(crate) fn lines(self, dialect: &Dialect) -> String {
        match self {
            Self::Quiet => String::new(),
            Self::Rate(minute) => format!("{}: {:.3}\r\n", dialect.rate, f64::from(minute) / 60.0),
            Self::Leaves => format!("{}: 1\r\n", dialect.leaving),
            Self::Pause(pause) => format!("retry-after: {:.3}\r\n", pause.as_secs_f64()),
            Self::Tolerates(rejections) => format!("{}: {rejections}\r\n", dialect.tolerance),
        }
    }
}
