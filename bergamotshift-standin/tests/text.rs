//! The engine's deterministic tokens: a resumed answer goes on exactly where it stopped, whatever the prompt.

use bergamotshift_standin::engine::text;
use quickcheck::quickcheck;
use serde_json::json;

fn chat(prompt: &str, begun: Option<&str>) -> serde_json::Value {
    let mut messages = vec![json!({"role": "user", "content": prompt})];
    messages.extend(begun.map(|content| json!({"role": "assistant", "content": content})));
    json!({"model": "m", "messages": messages, "continue_final_message": begun.is_some()})
}

fn completion(prompt: &str, begun: &str) -> serde_json::Value {
    json!({"model": "m", "prompt": format!("{prompt}{begun}")})
}

quickcheck! {
    fn chat_resumes_at_any_token(prompt: String, given: u8, rest: u8) -> bool {
        let (given, rest) = (u32::from(given), u32::from(rest));
        let whole = text::expected(&chat(&prompt, None), given + rest).expect("a chat");
        let begun = text::expected(&chat(&prompt, None), given).expect("a chat");
        let resumed = text::expected(&chat(&prompt, Some(&begun)), rest).expect("a chat");
        begun + &resumed == whole
    }

    fn completion_resumes_at_any_token(prompt: String, given: u8, rest: u8) -> bool {
        let (given, rest) = (u32::from(given), u32::from(rest));
        let whole = text::expected(&completion(&prompt, ""), given + rest).expect("a completion");
        let begun = text::expected(&completion(&prompt, ""), given).expect("a completion");
        let resumed = text::expected(&completion(&prompt, &begun), rest).expect("a completion");
        begun + &resumed == whole
    }

    fn altered_beginning_is_not_taken_for_ones_own(prompt: String, given: u8, at: usize) -> bool {
        let given = u32::from(given) + 1;
        let mut begun = text::expected(&chat(&prompt, None), given).expect("a chat").into_bytes();
        let at = at % begun.len();
        begun[at] = if begun[at] == b'x' { b'y' } else { b'x' };
        let begun = String::from_utf8(begun).expect("it is ASCII");
        let whole = text::expected(&chat(&prompt, None), given + 4).expect("a chat");
        text::expected(&chat(&prompt, Some(&begun)), 4).expect("a chat") != whole[whole.len() - 28..]
    }
}

#[test]
fn body_that_is_no_completion_expects_nothing() {
    assert_eq!(text::expected(&json!({"model": "m"}), 1), None);
    assert_eq!(text::expected(&json!([1]), 1), None);
}
