//! Parts of prompts that crash endpoints, in fleets whose entries tell each other of the deaths.

use core::time::Duration;

use bergamotshift_core::prelude::*;
use bergamotshift_forward::endpoint::Endpoint;
use bergamotshift_limit::quarantine::part::Part;
use bergamotshift_limit::quarantine::part::Verdict;
use tokio::time::sleep;

use crate::model::Fleet;
use crate::model::Node;
use crate::model::Size;
use crate::model::registration;
use crate::model::run;

const CALLER: Part = Part::new(Fingerprint::new(1), 0);

const CRASHING: Part = Part::new(Fingerprint::new(2), 1);

/// Time in which a fleet has started.
const START: Duration = Duration::from_secs(6);

/// Time within which all entries have to refuse a part; operators state it as the time after which a fleet is stable.
const REFUSED_WITHIN: Duration = Duration::from_secs(3);

/// Time between two crashes.
const GAP: Duration = Duration::from_millis(400);

fn verdict(node: &Node, part: Part) -> Verdict {
    let control = node.control().expect("the entry runs");
    let shared = control.shared();
    let view = shared.view.load();
    view.suspect_parts.verdict(shared.clock.now(), &[part.fingerprint])
}

/// Guards against a part that goes on crashing endpoints because each entry sees one death only, and against callers who are
/// refused by some entries as these do not know that others serve them.
#[test]
fn all_entries_refuse_a_crashing_part_and_no_other() {
    for entries in [4, 20, 66] {
        run(async move {
            let fleet = Fleet::new(Size::of(entries));
            fleet.start().await;
            sleep(START).await;
            for number in 0..3 {
                let hash = Endpoint::new(registration(number)).hash;
                let control = fleet.nodes[number].control().expect("the entry runs");
                let now = control.shared().clock.now();
                control.parts_lost(hash, now, &[CALLER, CRASHING], true);
                sleep(GAP).await;
            }
            // The organisation's sound requests are answered at another entry.
            let control = fleet.nodes[entries - 1].control().expect("the entry runs");
            let shared = control.shared();
            shared.answered.record(shared.clock.now(), CALLER.fingerprint);
            let is_refused = |node: &Node| matches!(verdict(node, CRASHING), Verdict::Refused { .. });
            fleet.wait_for_all("the refusal", REFUSED_WITHIN, is_refused).await;
            let is_served = |node: &Node| verdict(node, CALLER) == Verdict::Clear;
            fleet.wait_for_all("the service", REFUSED_WITHIN, is_served).await;
        });
    }
}
