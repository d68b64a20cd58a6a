//! Which VMs compute prompts and which generate answers.

use serde::Deserialize;
use serde::Serialize;

/// What a VM's engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts and answers.
    #[default]
    Mixed,
    /// Prompts; answers go on elsewhere.
    Prefill,
    /// Answers.
    Decode,
}

/// When a zone's VMs get roles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// The fewest VMs of a zone that are split; fewer stay mixed, as one lost would take a whole role with it.
    pub min_vms: usize,
    /// By how many VMs the split has to be off before it is changed.
    pub tolerance: f64,
}

impl Default for Split {
    fn default() -> Self {
        Self {
            min_vms: 4,
            tolerance: 0.75,
        }
    }
}

/// Returns the roles of a zone's VMs, given those they have and the prompts' part of the work.
///
/// The split keeps still until it is off by more than the band, and changes as few VMs as it can: a change of role
/// empties an engine's cache.
pub fn roles(present: &[Role], prefill_share: f64, split: Split) -> Vec<Role> {
    let count = present.len();
    if count < split.min_vms {
        return vec![Role::Mixed; count];
    }
    let exact = count as f64 * prefill_share.clamp(0.0, 1.0);
    let prefill_count = present.iter().filter(|role| **role == Role::Prefill).count();
    let settled = !present.contains(&Role::Mixed) && (1..count).contains(&prefill_count);
    let wanted = if settled && (prefill_count as f64 - exact).abs() <= split.tolerance {
        prefill_count
    } else {
        (exact.round() as usize).clamp(1, count - 1)
    };
    assign(present, wanted)
}

/// Keeps as many prompt VMs as are wanted, and takes the rest from the front.
fn assign(present: &[Role], wanted: usize) -> Vec<Role> {
    let mut roles = vec![Role::Decode; present.len()];
    let mut left = wanted;
    for keep in [true, false] {
        for (role, previous) in roles.iter_mut().zip(present) {
            if left > 0 && *role == Role::Decode && (*previous == Role::Prefill) == keep {
                *role = Role::Prefill;
                left -= 1;
            }
        }
    }
    roles
}
