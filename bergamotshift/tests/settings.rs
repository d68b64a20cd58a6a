//! Settings from flags and variables, and the one line that a wrong one gets.

use core::net::SocketAddr;
use core::time::Duration;

use bergamotshift::environment::Environment;
use bergamotshift::setting;

#[test]
fn a_flag_goes_before_its_variable() {
    let environment = Environment::from_pairs([("BERGAMOTSHIFT_ZONE", "from-variable")]);
    let mut zone = Some("from-flag".to_owned());
    environment.fill(&mut [("zone", &mut zone)]);
    assert_eq!(zone.as_deref(), Some("from-flag"));
}

#[test]
fn an_empty_variable_counts_as_not_set() {
    let environment = Environment::from_pairs([("BERGAMOTSHIFT_ZONE", "")]);
    let mut zone = None;
    environment.fill(&mut [("zone", &mut zone)]);
    assert_eq!(zone, None);
}

#[test]
fn errors_name_the_flag_and_the_variable() {
    let missing = setting::required::<SocketAddr>("callers", None, "where callers connect");
    let wrong = setting::required::<SocketAddr>("callers", Some("here"), "where callers connect");
    let cases = [
        (
            missing,
            "--callers (or BERGAMOTSHIFT_CALLERS) is missing: where callers connect",
        ),
        (
            wrong,
            "--callers (or BERGAMOTSHIFT_CALLERS) is \"here\": invalid socket address syntax",
        ),
    ];
    for (result, line) in cases {
        assert_eq!(result.expect_err("no address was given").to_string(), line);
    }
}

#[test]
fn durations_take_a_unit() {
    let default = Duration::from_secs(1);
    assert_eq!(
        setting::duration("grace", Some("500ms"), default),
        Ok(Duration::from_millis(500))
    );
    assert_eq!(setting::duration("grace", None, default), Ok(default));
    let error = setting::duration("grace", Some("soon"), default).expect_err("it is no span of time");
    assert!(error.to_string().starts_with("--grace"), "{error}");
}

#[test]
fn lists_name_the_item_that_is_wrong() {
    let parsed = setting::list::<u16>("ports", Some("1, 2,,3"));
    assert_eq!(parsed, Ok(vec![1, 2, 3]));
    let error = setting::list::<u16>("ports", Some("1,x")).expect_err("x is no number");
    assert!(
        error
            .to_string()
            .starts_with("--ports (or BERGAMOTSHIFT_PORTS) is \"x\""),
        "{error}"
    );
}
