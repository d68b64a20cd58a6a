//! Breadth-first exploration of every state that a small model can reach.

use core::hash::Hash;
use core::hash::Hasher;
use std::hash::DefaultHasher;

use rustc_hash::FxHashSet;

/// Model with finitely many states.
pub trait Model {
    /// State of the whole system: processes, network and platform.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Calls `emit` with the name of each possible step and the state that it leads to.
    fn steps(&self, state: &Self::State, emit: &mut dyn FnMut(String, Self::State));

    /// Returns the property that the state violates, if any.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of an exploration without a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of distinct states.
    pub states: usize,
    /// Length of the longest of the shortest paths to each state.
    pub depth: usize,
}

/// Violated property, with a shortest path to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the property.
    pub property: &'static str,
    /// Steps from the initial state.
    pub steps: Vec<String>,
}

/// Step by which a state was first reached.
struct Arrival {
    parent: u32,
    /// Index of the step among the steps of the parent.
    step: u32,
}

/// Visits every reachable state.
///
/// States are identified by a 128-bit hash, and only those of the current and the next depth are stored completely. A
/// million states take a few dozen megabytes.
///
/// # Errors
///
/// Returns the first violated property, with a shortest path to it.
pub fn explore<M: Model>(model: &M) -> Result<Report, Violation> {
    let mut visited = FxHashSet::default();
    let mut arrivals = vec![Arrival { parent: 0, step: 0 }];
    let mut frontier = vec![(0_u32, model.initial())];
    let mut depth = 0;
    visited.insert(fingerprint(&frontier[0].1));
    loop {
        let mut next_frontier = Vec::new();
        for (at, state) in &frontier {
            if let Some(property) = model.violated(state) {
                let steps = path_to(model, &arrivals, *at);
                return Err(Violation { property, steps });
            }
            let mut step = 0;
            model.steps(state, &mut |_, next| {
                if visited.insert(fingerprint(&next)) {
                    next_frontier.push((arrivals.len() as u32, next));
                    arrivals.push(Arrival { parent: *at, step });
                }
                step += 1;
            });
        }
        if next_frontier.is_empty() {
            let states = arrivals.len();
            return Ok(Report { states, depth });
        }
        depth += 1;
        frontier = next_frontier;
    }
}

/// Returns a 128-bit hash of a state, which is the same in every run.
pub fn fingerprint<S: Hash>(state: &S) -> u128 {
    let half = |salt: u8| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(0) << 64 | half(1)
}

/// Replays the steps from the initial state to the one at `at` and returns their names.
fn path_to<M: Model>(model: &M, arrivals: &[Arrival], mut at: u32) -> Vec<String> {
    let mut path = Vec::new();
    while at != 0 {
        let arrival = &arrivals[at as usize];
        path.push(arrival.step);
        at = arrival.parent;
    }
    let mut state = model.initial();
    let mut names = Vec::new();
    for wanted_step in path.into_iter().rev() {
        let mut index = 0;
        let mut taken = None;
        model.steps(&state, &mut |name, next| {
            if index == wanted_step {
                taken = Some((name, next));
            }
            index += 1;
        });
        let (name, next) = taken.expect("a model's steps are the same each time");
        names.push(name);
        state = next;
    }
    names
}
