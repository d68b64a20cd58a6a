//! Split of VMs between computing prompts (prefill) and generating answers (decode).

use serde::Deserialize;
use serde::Serialize;

/// The kind of work that a VM's engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts and answers.
    #[default]
    Mixed,
    /// Prompts only; the answers are generated on other VMs.
    Prefill,
    /// Answers only.
    Decode,
}

/// Settings for the split of a zone's VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Minimum number of VMs in a zone that is split. With fewer, the loss of one VM could remove a whole role.
    pub min_vms: usize,
    /// Maximum deviation from the ideal split, in VMs, at which the split is left unchanged.
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

/// Returns the roles of a zone's VMs, given their present roles and the share of prefill in the work.
///
/// The split is left unchanged within the tolerance, and otherwise changes as few VMs as possible, because a change of
/// role empties an engine's cache.
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

/// Assigns `wanted` prefill VMs, keeping present ones first and then taking others from the front.
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
