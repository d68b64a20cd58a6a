//! Lists and errors that the store gives, and bytes that it never gives.

use quickcheck::quickcheck;

use super::answer;

const LIST: &str = "<ListBucketResult><IsTruncated>false</IsTruncated><KeyCount>2</KeyCount>\
    <Contents><Key>job/a</Key><Size>1</Size></Contents><Contents><Key>job/b</Key></Contents></ListBucketResult>";

#[test]
fn list_is_checked_against_what_was_asked() {
    assert_eq!(answer::keys(LIST.as_bytes(), "job/", None).unwrap(), ["job/a", "job/b"]);
    answer::keys(LIST.as_bytes(), "other/", None).unwrap_err();
    answer::keys(LIST.as_bytes(), "job/", Some("job/a")).unwrap_err();
}

#[test]
fn missing_key_is_told_from_other_absences() {
    assert!(answer::is_no_such_key(
        b"<Error><Code>NoSuchKey</Code><Message>m</Message></Error>"
    ));
    assert!(!answer::is_no_such_key(b"<Error><Code>NoSuchBucket</Code></Error>"));
    assert!(!answer::is_no_such_key(b"<html>not found</html>"));
}

quickcheck! {
    fn garbage_is_no_list(body: Vec<u8>) -> bool {
        answer::keys(&body, "", None).is_err()
    }

    fn cut_list_is_no_list(at: usize) -> bool {
        answer::keys(&LIST.as_bytes()[..at % LIST.len()], "", None).is_err()
    }

    fn garbage_is_no_missing_key(body: Vec<u8>) -> bool {
        !answer::is_no_such_key(&body) && !answer::is_slow_down(&body)
    }
}
