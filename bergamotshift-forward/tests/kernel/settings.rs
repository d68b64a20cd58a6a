//! The settings file.

use bergamotshift_forward::settings::Settings;

const WHOLE: &str = r#"
name = "entry-1"
zone = "one"
outside = "memory"
unknown = "is passed over"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
"#;

#[test]
fn what_is_not_given_has_a_default() {
    let settings = Settings::parse(WHOLE).expect("it is whole");
    assert!(settings.cloud.is_none());
    assert!(settings.peers.seeds.is_empty());
    assert_eq!(settings.duty.lease_ms, 3_000);
}

#[test]
fn a_missing_field_is_named_in_one_line() {
    let text = WHOLE.replace("peers = \"127.0.0.1:3\"\n", "");
    let error = Settings::parse(&text).expect_err("a field is missing").to_string();
    assert!(error.contains("missing field `peers`"), "{error}");
    assert_eq!(error.lines().count(), 1);
}

#[test]
fn a_wrong_value_is_shown_in_one_line() {
    let text = WHOLE.replace("127.0.0.1:2", "somewhere");
    let error = Settings::parse(&text).expect_err("an address is wrong").to_string();
    assert!(error.contains("somewhere"), "{error}");
    assert_eq!(error.lines().count(), 1);
}
