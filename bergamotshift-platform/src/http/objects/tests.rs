//! Parsing of valid, corrupt and arbitrary answers of the object store.

use quickcheck::quickcheck;

use super::answer;

const LIST: &str = "<ListBucketResult><IsTruncated>false</IsTruncated><KeyCount>2</KeyCount>\
    <Contents><Key>job/a</Key><Size>1</Size></Contents><Contents><Key>job/b</Key></Contents></ListBucketResult>";

#[test]
fn list_is_checked_against_the_request() {
    assert_eq!(answer::keys(LIST.as_bytes(), "job/", None).unwrap(), ["job/a", "job/b"]);
    answer::keys(LIST.as_bytes(), "other/", None).unwrap_err();
    answer::keys(LIST.as_bytes(), "job/", Some("job/a")).unwrap_err();
}

#[test]
fn missing_key_is_distinguished_from_other_errors() {
    assert!(answer::is_no_such_key(
        b"<Error><Code>NoSuchKey</Code><Message>m</Message></Error>"
    ));
    assert!(!answer::is_no_such_key(b"<Error><Code>NoSuchBucket</Code></Error>"));
    assert!(!answer::is_no_such_key(b"<html>not found</html>"));
}

quickcheck! {
    fn garbage_is_not_a_list(body: Vec<u8>) -> bool {
        answer::keys(&body, "", None).is_err()
    }

    fn truncated_list_is_not_a_list(at: usize) -> bool {
        answer::keys(&LIST.as_bytes()[..at % LIST.len()], "", None).is_err()
    }

    fn garbage_is_not_an_error_code(body: Vec<u8>) -> bool {
        !answer::is_no_such_key(&body) && !answer::is_slow_down(&body)
    }
}
