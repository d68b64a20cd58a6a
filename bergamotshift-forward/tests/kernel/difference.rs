//! What one version of the document has that another one has not.

use bergamotshift_forward::document::Difference;
use bergamotshift_forward::document::Document;
use bergamotshift_forward::document::Route;
use bergamotshift_forward::document::Unfit;
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
    assert_eq!(difference.written(), 2);
}

#[test]
fn a_difference_from_another_version_is_refused() {
    let (before, after) = (document(1, [(1, 0)]), document(2, [(1, 0), (2, 0)]));
    let difference = Difference::between(&before, &after);
    let unfit = |version| Err(Unfit { before: 1, version });
    assert_eq!(difference.apply(&document(3, [(1, 0)])), unfit(3));
    // The same version with fewer routes is no such version.
    assert_eq!(difference.apply(&document(1, [])), unfit(1));
}
