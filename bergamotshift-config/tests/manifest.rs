//! Tests of manifests, merges and diffs.

use bergamotshift_config::diff::Diff;
use bergamotshift_config::folder;
use bergamotshift_config::manifest::Error;
use bergamotshift_config::manifest::Listing;
use bergamotshift_config::manifest::Manifest;
use quickcheck::quickcheck;

fn manifest(files: &[(&str, &str)]) -> Manifest {
    Manifest::new(files).unwrap()
}

#[test]
fn edits_of_different_files_merge() {
    let base = manifest(&[("a", "1"), ("b", "1"), ("c", "1")]);
    let ours = manifest(&[("a", "2"), ("b", "1"), ("c", "1"), ("d", "1")]);
    let theirs = manifest(&[("a", "1"), ("b", "2")]);
    let merged = Manifest::merge(&base, &ours, &theirs).unwrap();
    assert_eq!(merged, manifest(&[("a", "2"), ("b", "2"), ("d", "1")]));
}

#[test]
fn edits_of_the_same_file_conflict_and_name_it() {
    let base = manifest(&[("a", "1"), ("b", "1"), ("c", "1")]);
    let ours = manifest(&[("a", "2"), ("c", "2")]);
    let theirs = manifest(&[("a", "3"), ("b", "2"), ("c", "1")]);
    let conflict = Error::Conflict(vec!["a".into(), "b".into()]);
    assert_eq!(Manifest::merge(&base, &ours, &theirs), Err(conflict));
}

#[test]
fn identical_edits_do_not_conflict() {
    let base = manifest(&[("a", "1")]);
    let edit = manifest(&[("a", "2"), ("b", "1")]);
    assert_eq!(Manifest::merge(&base, &edit, &edit).unwrap(), edit);
}

#[test]
fn a_digest_depends_on_names_and_not_on_their_order() {
    assert_ne!(
        manifest(&[("ab", "1")]).digest(),
        manifest(&[("a", "1"), ("b", "1")]).digest()
    );
    assert_eq!(
        manifest(&[("a", "1"), ("b", "2")]).digest(),
        manifest(&[("b", "2"), ("a", "1")]).digest()
    );
}

/// A peer or the platform sends a text that differs from the listed one. If it was used, a process would run another
/// configuration than the accepted one. Texts are looked up by their own digest, so the file counts as missing.
#[test]
fn a_text_with_another_digest_counts_as_missing() {
    let listing = manifest(&[("a", "1"), ("b", "2")]).listing().clone();
    assert_eq!(
        Manifest::assemble(&listing, ["1".into(), "other".into()]),
        Err(Error::Missing("b".into()))
    );
    assert_eq!(
        Manifest::assemble(&listing, ["2".into(), "1".into()]).unwrap().digest(),
        listing.digest()
    );
}

#[test]
fn only_changed_texts_are_fetched() {
    let known = manifest(&[("a", "1"), ("b", "1x")]);
    let next = manifest(&[("a", "1"), ("b", "2"), ("c", "3")]);
    let missing = next.listing().missing(&known);
    assert_eq!(missing.len(), 2);
    assert!(Listing::default().missing(&known).is_empty());
}

#[test]
fn a_diff_lists_changes_by_item() {
    let old = "[[zone]]\nname = 'a'\nregion = 'r'\n[[zone]]\nname = 'b'\nregion = 'r'\n";
    let new = "[[zone]]\nname = 'a'\nregion = 's'\n[[zone]]\nname = 'c'\nregion = 'r'\n";
    let [old, new] = [old, new].map(|text| folder::parse(&[("z.toml", text)]).unwrap());
    let diff = Diff::between(&old, &new).to_string();
    assert_eq!(diff, "~ zone a\n    region: \"r\" -> \"s\"\n- zone b\n+ zone c\n");
    assert!(Diff::between(&old, &old).is_empty());
}

quickcheck! {
    fn a_merge_is_commutative(base: Vec<(u8, u8)>, ours: Vec<(u8, u8)>, theirs: Vec<(u8, u8)>) -> bool {
        let [base, ours, theirs] = [base, ours, theirs].map(|files| {
            let files: Vec<_> = files.iter().map(|(name, text)| ((name % 4).to_string(), (text % 3).to_string())).collect();
            Manifest::new(&files).unwrap()
        });
        Manifest::merge(&base, &ours, &theirs) == Manifest::merge(&base, &theirs, &ours)
    }
}
