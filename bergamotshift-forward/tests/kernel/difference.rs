//! Differences between versions of the document.

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

/// Maximum number of routes in a generated document.
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

/// Routes are added, changed, removed, moved and duplicated. The difference applied to the earlier version yields
/// exactly the later one, in the same order.
#[test]
fn a_difference_applied_to_the_earlier_version_yields_the_later_one() {
    fn yields_later_version(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let (before, after) = (document(1, before), document(2, after));
        Difference::between(&before, &after).apply(&before) == Ok(after)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, 7))
        .tests(1_000)
        .quickcheck(yields_later_version as fn(Vec<(u8, u8)>, Vec<(u8, u8)>) -> bool);
}

/// Guards against panics on bytes from an entry of another release: any difference is applied or rejected.
#[test]
fn any_bytes_are_applied_or_rejected() {
    fn returns(bytes: Vec<u8>) -> bool {
        if let Ok(difference) = postcard::from_bytes::<Difference>(&Bytes::from(bytes)) {
            let _ = difference.apply(&document(difference.before, [(1, 0), (2, 0)]));
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, 7))
        .tests(1_000)
        .quickcheck(returns as fn(Vec<u8>) -> bool);
}

#[test]
fn only_new_or_changed_routes_are_included() {
    let before: Vec<(u8, u8)> = (0..40).map(|number| (number, 0)).collect();
    let mut after = before.clone();
    after[7].1 = 1;
    after.remove(20);
    after.push((45, 0));
    let difference = Difference::between(&document(1, before), &document(2, after));
    assert_eq!(difference.changed_routes(), 2);
}

#[test]
fn a_difference_from_another_version_is_rejected() {
    let (before, after) = (document(1, [(1, 0)]), document(2, [(1, 0), (2, 0)]));
    let difference = Difference::between(&before, &after);
    let mismatch = |version| Err(Mismatch { before: 1, version });
    assert_eq!(difference.apply(&document(3, [(1, 0)])), mismatch(3));
    // The version number matches, but the document has fewer routes than the difference refers to.
    assert_eq!(difference.apply(&document(1, [])), mismatch(1));
}

/// An entry that is two versions behind applies both differences, and gets them back to pass them on.
#[test]
fn several_differences_lead_to_the_newest_version() {
    let versions = [
        document(1, [(1, 0), (2, 0)]),
        document(4, [(1, 1), (2, 0)]),
        document(9, [(2, 0), (3, 0)]),
    ];
    let steps = [
        Difference::between(&versions[0], &versions[1]),
        Difference::between(&versions[1], &versions[2]),
    ];
    let update = || Update::Steps(steps.iter().map(Cow::Borrowed).collect());
    let newest = (versions[2].clone(), Some(steps.to_vec()));
    assert_eq!(update().apply(&versions[0]), Ok(newest));
    assert!(update().apply(&versions[1]).is_err_and(|mismatch| mismatch.before == 1));
}

/// Guards against a response without differences that counts as the newest document.
#[test]
fn an_update_without_differences_is_rejected() {
    let before = document(1, [(1, 0)]);
    let mismatch = Mismatch { before: 0, version: 1 };
    assert_eq!(Update::Steps(Vec::new()).apply(&before), Err(mismatch));
}
