//! Which named tests count as missing.

use std::path::Path;

use xtask::names;

#[test]
fn only_tests_that_are_not_there_are_missing() {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let cases: [(&str, &[&str]); 4] = [
        ("`tests/names.rs::only_tests_that_are_not_there_are_missing`", &[]),
        ("`tests/names.rs::another`", &["tests/names.rs::another"]),
        ("`tests/none.rs::another`", &["tests/none.rs::another"]),
        ("`wire::Frame` and `names.rs`", &[]),
    ];
    for (page, expected) in cases {
        assert_eq!(names::missing(page, here), expected, "{page}");
    }
}
