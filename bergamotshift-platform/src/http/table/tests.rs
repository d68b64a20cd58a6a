//! Parsing of valid, corrupt and arbitrary answers of the table service.

use bergamotshift_core::table::Ending;
use bergamotshift_core::table::Key;
use quickcheck::quickcheck;
use serde_json::json;

use super::answer;

fn cancelled(codes: &[&str]) -> Vec<u8> {
    let reasons: Vec<_> = codes.iter().map(|code| json!({"Code": code})).collect();
    let kind = "com.amazonaws.dynamodb.v20120810#TransactionCanceledException";
    json!({"__type": kind, "CancellationReasons": reasons})
        .to_string()
        .into_bytes()
}

fn failed(kind: &str) -> Vec<u8> {
    json!({"__type": kind}).to_string().into_bytes()
}

#[test]
fn endings_follow_from_answers() {
    let cases = [
        (200, b"{}".to_vec(), Ending::Applied),
        (200, b"{\"ConsumedCapacity\":[]}".to_vec(), Ending::Applied),
        (200, b"".to_vec(), Ending::Unknown),
        (200, b"{".to_vec(), Ending::Unknown),
        (200, b"[]".to_vec(), Ending::Unknown),
        (200, b"null".to_vec(), Ending::Unknown),
        (200, b"<html>".to_vec(), Ending::Unknown),
        (200, b"{\"error\":1}".to_vec(), Ending::Unknown),
        (204, b"{}".to_vec(), Ending::Unknown),
        (302, b"{}".to_vec(), Ending::Unknown),
        (
            400,
            cancelled(&["None", "ConditionalCheckFailed"]),
            Ending::Conflict(vec![5]),
        ),
        (
            400,
            cancelled(&["ConditionalCheckFailed", "None", "ConditionalCheckFailed"]),
            Ending::Conflict(vec![2, 7]),
        ),
        (400, cancelled(&["None", "TransactionConflict"]), Ending::Refused),
        (400, cancelled(&[]), Ending::Refused),
        (400, failed("a#ProvisionedThroughputExceededException"), Ending::Refused),
        (400, failed("ValidationException"), Ending::Refused),
        (400, failed("a#TransactionInProgressException"), Ending::Unknown),
        (400, b"<html>".to_vec(), Ending::Unknown),
        (403, b"".to_vec(), Ending::Unknown),
        (500, failed("InternalServerError"), Ending::Unknown),
        (503, b"{}".to_vec(), Ending::Unknown),
    ];
    for (status, body, expected) in cases {
        let text = String::from_utf8_lossy(&body);
        assert_eq!(answer::ending(status, &body, &[2, 5, 7]), expected, "{status} {text}");
    }
}

#[test]
fn rows_of_another_answer_are_rejected() {
    let item = json!({"pk": {"S": "p"}, "sk": {"S": "x"}, "v": {"N": "1"}, "b": {"B": ""}});
    let batch = json!({"Responses": {"t": [item]}}).to_string();
    let requested = [Key::new("p", "a")];
    let mut rows = answer::Rows::new(&requested);
    rows.record("t", &requested, batch.as_bytes()).unwrap_err();
    assert_eq!(rows.missing(), requested);

    let page = json!({"Items": [item]}).to_string();
    assert_eq!(answer::page(page.as_bytes(), "p", None).unwrap().rows.len(), 1);
    answer::page(page.as_bytes(), "q", None).unwrap_err();
    answer::page(page.as_bytes(), "p", Some("x")).unwrap_err();
}

#[test]
fn page_that_does_not_advance_is_rejected() {
    let page = json!({"Items": [], "LastEvaluatedKey": {"pk": {"S": "p"}, "sk": {"S": "a"}}}).to_string();
    answer::page(page.as_bytes(), "p", Some("a")).unwrap_err();
    assert_eq!(
        answer::page(page.as_bytes(), "p", None).unwrap().next.as_deref(),
        Some("a")
    );
}

/// Overwrites bytes of a valid answer.
fn corrupt(answer: &str, changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = answer.as_bytes().to_vec();
    for (offset, byte) in changes {
        let offset = offset % bytes.len();
        bytes[offset] = *byte;
    }
    bytes
}

const BATCH: &str = r#"{"Responses":{"t":[{"pk":{"S":"p"},"sk":{"S":"a"},"v":{"N":"1"},"b":{"B":"AA=="}}]},
    "UnprocessedKeys":{"t":{"Keys":[{"pk":{"S":"p"},"sk":{"S":"b"}}]}}}"#;
const PAGE: &str = r#"{"Items":[{"pk":{"S":"p"},"sk":{"S":"a"},"v":{"N":"1"},"b":{"B":"AA=="}}],
    "LastEvaluatedKey":{"pk":{"S":"p"},"sk":{"S":"a"}}}"#;

quickcheck! {
    fn corrupt_batches_return_only_requested_rows(changes: Vec<(usize, u8)>) -> bool {
        let requested = [Key::new("p", "a"), Key::new("p", "b")];
        let mut rows = answer::Rows::new(&requested);
        let accepted = rows.record("t", &requested, &corrupt(BATCH, &changes)).is_ok();
        accepted || rows.missing() == requested
    }

    fn corrupt_pages_advance_in_their_partition(changes: Vec<(usize, u8)>) -> bool {
        let page = answer::page(&corrupt(PAGE, &changes), "p", Some("A"));
        page.is_err() || page.is_ok_and(|page| {
            page.rows.iter().all(|(sort, _)| sort > "A") && page.next.is_none_or(|next| next > "A")
        })
    }

    fn corrupt_cancellations_never_apply(changes: Vec<(usize, u8)>, indices: Vec<usize>) -> bool {
        let whole = String::from_utf8(cancelled(&["None", "ConditionalCheckFailed"])).expect("JSON is UTF-8");
        answer::ending(400, &corrupt(&whole, &changes), &indices) != Ending::Applied
    }

    fn garbage_never_applies(status: u16, body: Vec<u8>, indices: Vec<usize>) -> bool {
        let expected = status == 200 && body.trim_ascii() == b"{}";
        expected || answer::ending(status, &body, &indices) != Ending::Applied
    }

    fn garbage_with_status_200_never_applies(body: Vec<u8>) -> bool {
        body.trim_ascii() == b"{}" || answer::ending(200, &body, &[0]) != Ending::Applied
    }

    fn truncated_cancellations_are_unknown(offset: usize) -> bool {
        let whole = cancelled(&["None", "ConditionalCheckFailed"]);
        let cut = &whole[..offset % whole.len()];
        answer::ending(400, cut, &[0, 1]) == Ending::Unknown
    }

    fn garbage_rows_are_an_error_or_absent(body: Vec<u8>, sort: String) -> bool {
        let requested = [Key::new("p", sort)];
        let mut rows = answer::Rows::new(&requested);
        rows.record("t", &requested, &body).is_err() || rows.row(&requested[0]).is_none()
    }

    fn garbage_pages_are_errors(body: Vec<u8>) -> bool {
        answer::page(&body, "p", None).is_err()
    }
}
