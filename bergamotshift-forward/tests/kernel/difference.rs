//! What one version of the document has that another one has not.

use std::borrow::Cow;

use bergamotshift_forward::document::Difference;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Mismatch;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::peers::Update;
use bytes::Bytes;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::support::route;

/// How many routes the documents of properties have at the most.
const SIZE: usize = 40;

fn document(version: u64, routes: impl IntoIterator<Item = (u8, u8)>) -> Document {
    let route = |(name, urgency): (u8, u8)| Route {
        urgency: urgency % 2,
        ..route(&format!("/{}/", name % 50))
    };
    Document {
        version,
        routes: routes.into_iter().map(route).collect(),
        ..Document::default()
    }
}

/// Routes are added, changed, dropped and moved, and some stand twice. What an entry makes out of its own version and the
/// difference is the other entry's version to the letter, in the same order.
#[test]
fn whatever_changed_the_later_version_comes_out() {
    fn comes_out(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let (before, after) = (document(1, before), document(2, after));
        Difference::between(&before, &after).apply(&before) == Ok(after)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, 7))
        .tests(1_000)
        .quickcheck(comes_out as fn(Vec<(u8, u8)>, Vec<(u8, u8)>) -> bool);
}

/// A difference comes over the wire from an entry that may be of another make. Whatever it says, it is applied or refused.
#[test]
fn any_bytes_are_a_difference_that_fits_or_an_error() {
    fn ends(bytes: Vec<u8>) -> bool {
        if let Ok(difference) = postcard::from_bytes::<Difference>(&Bytes::from(bytes)) {
            let _ = difference.apply(&document(difference.before, [(1, 0), (2, 0)]));
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, 7))
        .tests(1_000)
        .quickcheck(ends as fn(Vec<u8>) -> bool);
}

#[test]
fn only_what_is_new_or_changed_is_told() {
    let before: Vec<(u8, u8)> = (0..40).map(|number| (number, 0)).collect();
    let mut after = before.clone();
    after[7].1 = 1;
    after.remove(20);
    after.push((45, 0));
    let difference = Difference::between(&document(1, before), &document(2, after));
    assert_eq!(difference.changed_routes(), 2);
}

#[test]
fn a_difference_from_another_version_is_refused() {
    let (before, after) = (document(1, [(1, 0)]), document(2, [(1, 0), (2, 0)]));
    let difference = Difference::between(&before, &after);
    let mismatch = |version| Err(Mismatch { before: 1, version });
    assert_eq!(difference.apply(&document(3, [(1, 0)])), mismatch(3));
    // The same version with fewer routes is no such version.
    assert_eq!(difference.apply(&document(1, [])), mismatch(1));
}

/// An entry is two versions behind. It is told both steps, and comes out where the one that told them is; it says which steps
/// they were, so that it can tell them on.
#[test]
fn several_steps_lead_to_the_newest_version() {
    let versions = [
        document(1, [(1, 0), (2, 0)]),
        document(4, [(1, 1), (2, 0)]),
        document(9, [(2, 0), (3, 0)]),
    ];
    let steps = [
        Difference::between(&versions[0], &versions[1]),
        Difference::between(&versions[1], &versions[2]),
    ];
    let told = || Update::Steps(steps.iter().map(Cow::Borrowed).collect());
    let newest = (versions[2].clone(), Some(steps.to_vec()));
    assert_eq!(told().apply(&versions[0]), Ok(newest));
    assert!(told().apply(&versions[1]).is_err_and(|mismatch| mismatch.before == 1));
}

/// An answer without any step leads nowhere, and must not count as the newest document.
#[test]
fn no_step_at_all_is_no_update() {
    let before = document(1, [(1, 0)]);
    let mismatch = Mismatch { before: 0, version: 1 };
    assert_eq!(Update::Steps(Vec::new()).apply(&before), Err(mismatch));
}
