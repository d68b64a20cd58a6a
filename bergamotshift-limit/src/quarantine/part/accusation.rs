//! Finds the parts that explain the deaths of endpoints.

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bergamotshift_core::prelude::*;

use super::ANSWERED_HOLD;
use super::ANSWERED_TURN;
use super::DEATHS;
use super::HOLD;
use super::MAX_HOLD;
use super::Removals;
use super::SIMULTANEOUS;
use super::TURN;
use super::evidence::Evidence;
use crate::quarantine::Instance;

/// Part that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Accused {
    pub(super) fingerprint: Fingerprint,
    /// Time from which it may be tried.
    pub(super) refused_until: Instant,
    /// Time of one turn of trials.
    pub(super) turn: Duration,
}

/// Returns the parts that explain the deaths, each with at least [`DEATHS`] that those before it do not explain.
///
/// Parts without any answer come first, as the deaths beside them accuse sound parts too. Of several that are always
/// together, the deepest comes first: refusing it affects the fewest requests. One further death is enough for a part
/// that was refused before, as the explanation that replaced it does not hold.
pub(super) fn accuse(evidence: &BTreeMap<Fingerprint, Evidence>, removals: &Removals) -> Vec<Accused> {
    let mut accused: Vec<Accused> = Vec::new();
    let mut explained = BTreeSet::new();
    loop {
        let others = evidence
            .iter()
            .filter(|(fingerprint, _)| !accused.iter().any(|one| one.fingerprint == **fingerprint));
        let suspects = others.filter_map(|(fingerprint, one)| {
            let count = moments(&one.unexplained(removals, &explained)).len();
            let is_unanswered = one.answered().is_none();
            let rank = (is_unanswered, count, Reverse(one.answered()), one.depth(), *fingerprint);
            let least = if one.was_refused() { 1 } else { DEATHS };
            (count >= least).then_some((rank, one))
        });
        let Some(((.., fingerprint), one)) = suspects.max_by_key(|(rank, _)| *rank) else {
            return accused;
        };
        explained.extend(one.unannounced());
        accused.push(Accused {
            fingerprint,
            refused_until: refused_until(one, removals),
            turn: if one.answered().is_some() { ANSWERED_TURN } else { TURN },
        });
    }
}

/// Returns the instances whose deaths are explained by these parts.
pub(super) fn explained<'a>(
    evidence: &'a BTreeMap<Fingerprint, Evidence>,
    refused: &BTreeSet<Fingerprint>,
) -> BTreeSet<&'a Instance> {
    let refused = refused.iter().filter_map(|fingerprint| evidence.get(fingerprint));
    refused.flat_map(Evidence::unannounced).collect()
}

/// Returns the moments at which deaths happened, where simultaneous ones count as one. `times` are in order.
fn moments(times: &[Instant]) -> Vec<Instant> {
    let mut moments: Vec<Instant> = Vec::new();
    for at in times {
        if moments.last().is_none_or(|last| at.since(*last) > SIMULTANEOUS) {
            moments.push(*at);
        }
    }
    moments
}

/// Returns the time until which a part is refused. The time of refusal doubles with each death that came after it was
/// over, as that was a failed trial.
fn refused_until(evidence: &Evidence, removals: &Removals) -> Instant {
    let times = evidence.unexplained(removals, &BTreeSet::new());
    let accused_at = moments(&times).get(DEATHS - 1).copied().unwrap_or_default();
    let mut hold: Duration = match evidence.answered() {
        Some(_) => ANSWERED_HOLD,
        None => HOLD,
    };
    let mut last = accused_at;
    for at in times.into_iter().filter(|at| *at > accused_at) {
        if at.since(last) >= hold {
            hold = (hold * 2).min(MAX_HOLD);
        }
        last = at;
    }
    last + hold
}
