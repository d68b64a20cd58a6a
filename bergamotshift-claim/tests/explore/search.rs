//! Exhaustive exploration: every state that a small model can reach, breadth first.

use core::hash::Hash;
use core::hash::Hasher;
use std::hash::DefaultHasher;

use rustc_hash::FxHashSet;

/// A model with finitely many states.
pub trait Model {
    /// One state of everything: processes, network, platform.
    type State: Clone + Eq + Hash;

    /// Returns the state to start from.
    fn first(&self) -> Self::State;

    /// Calls `found` with every state that one step leads to, and the step's name.
    fn steps(&self, state: &Self::State, found: &mut dyn FnMut(String, Self::State));

    /// Returns the property that the state breaks, if it breaks one.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What an exploration that found no broken property has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of different states.
    pub states: usize,
    /// The longest of the shortest ways to a state.
    pub depth: usize,
}

/// A broken property with a shortest way to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The property.
    pub property: &'static str,
    /// The steps from the first state.
    pub steps: Vec<String>,
}

/// Remembers how a state was first reached.
struct Arrival {
    parent: u32,
    /// Which of the parent's steps led here.
    step: u32,
}

/// Visits every reachable state.
///
/// States are told apart by 128 bits of hash, so that only the newest ones are held whole: a million states take a
/// few dozen megabytes.
///
/// # Errors
///
/// Returns the first broken property, which has no shorter way to it than the one given.
pub fn explore<M: Model>(model: &M) -> Result<Report, Violation> {
    let mut seen = FxHashSet::default();
    let mut arrivals = vec![Arrival { parent: 0, step: 0 }];
    let mut front = vec![(0_u32, model.first())];
    let mut depth = 0;
    seen.insert(fingerprint(&front[0].1));
    loop {
        let mut next_front = Vec::new();
        for (at, state) in &front {
            if let Some(property) = model.broken(state) {
                let steps = way(model, &arrivals, *at);
                return Err(Violation { property, steps });
            }
            let mut step = 0;
            model.steps(state, &mut |_, next| {
                if seen.insert(fingerprint(&next)) {
                    next_front.push((arrivals.len() as u32, next));
                    arrivals.push(Arrival { parent: *at, step });
                }
                step += 1;
            });
        }
        if next_front.is_empty() {
            let states = arrivals.len();
            return Ok(Report { states, depth });
        }
        depth += 1;
        front = next_front;
    }
}

/// Returns 128 bits that tell states apart, the same in every run.
pub fn fingerprint<S: Hash>(state: &S) -> u128 {
    let half = |salt: u8| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(0) << 64 | half(1)
}

/// Walks from the first state to the one at `at` again and names the steps.
fn way<M: Model>(model: &M, arrivals: &[Arrival], mut at: u32) -> Vec<String> {
    let mut path = Vec::new();
    while at != 0 {
        let arrival = &arrivals[at as usize];
        path.push(arrival.step);
        at = arrival.parent;
    }
    let mut state = model.first();
    let mut names = Vec::new();
    for wanted in path.into_iter().rev() {
        let mut number = 0;
        let mut taken = None;
        model.steps(&state, &mut |name, next| {
            if number == wanted {
                taken = Some((name, next));
            }
            number += 1;
        });
        let (name, next) = taken.expect("a model's steps are the same each time");
        names.push(name);
        state = next;
    }
    names
}
