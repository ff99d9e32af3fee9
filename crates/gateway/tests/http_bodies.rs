//! Decoding of message bodies, for any division of the bytes into reads.

use bytes::BytesMut;
use gateway::http::{Body, Framing, FramingError, Progress, put_chunk};
use proptest::prelude::*;
use test_case::test_case;

fn read(framing: Framing, text: &[u8]) -> Result<(Progress, Vec<u8>, Vec<u8>), FramingError> {
    let mut buf = BytesMut::from(text);
    let mut out = BytesMut::new();
    let progress = Body::new(framing).read(&mut buf, &mut out)?;
    Ok((progress, out.to_vec(), buf.to_vec()))
}

#[test]
fn a_body_with_a_length_leaves_the_bytes_after_it() {
    let result = read(Framing::Length(3), b"abcGET").unwrap();
    assert_eq!(result, (Progress::Done, b"abc".to_vec(), b"GET".to_vec()));
}

#[test]
fn chunks_with_extensions_and_trailers() {
    let result = read(Framing::Chunked, b"3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\nrest").unwrap();
    assert_eq!(result, (Progress::Done, b"abc".to_vec(), b"rest".to_vec()));
}

#[test]
fn a_body_without_length_ends_with_its_connection() {
    let mut body = Body::new(Framing::Close);
    let mut out = BytesMut::new();
    let progress = body.read(&mut BytesMut::from("abc"), &mut out);
    assert_eq!(progress, Ok(Progress::More));
    assert!(body.ends_with_connection());
    assert!(!Body::new(Framing::Length(1)).ends_with_connection());
    assert!(!Body::new(Framing::Chunked).ends_with_connection());
}

#[test_case(b"3\nabc\r\n0\r\n\r\n"; "a bare line feed")]
#[test_case(b"\r\nabc\r\n"; "no size")]
#[test_case(b"-3\r\nabc\r\n"; "a signed size")]
#[test_case(b"3 3\r\nabc\r\n"; "two sizes")]
#[test_case(b"3\r\nabcd\r\n0\r\n\r\n"; "more than its size")]
#[test_case(b"fffffffffffffffff\r\n"; "a size that overflows")]
fn malformed_chunks(text: &[u8]) {
    assert_eq!(read(Framing::Chunked, text), Err(FramingError));
}

proptest! {
    #[test]
    fn a_chunked_body_decodes_the_same_for_any_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        cuts in prop::collection::vec(1_usize..9, 1..200),
    ) {
        let mut wire = BytesMut::new();
        for part in &parts {
            put_chunk(&mut wire, part);
        }
        wire.extend_from_slice(b"0\r\n\r\nnext");
        let mut body = Body::new(Framing::Chunked);
        let (mut buf, mut out) = (BytesMut::new(), BytesMut::new());
        let mut sizes = cuts.iter().cycle();
        while !body.is_done() {
            let size = (*sizes.next().unwrap()).min(wire.len());
            prop_assert!(size > 0, "the input ended before the body was complete");
            buf.extend_from_slice(&wire.split_to(size));
            body.read(&mut buf, &mut out).unwrap();
        }
        buf.extend_from_slice(&wire);
        prop_assert_eq!(&out[..], parts.concat());
        prop_assert_eq!(&buf[..], b"next");
    }

    #[test]
    fn readers_do_not_panic_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(Framing::Chunked, &bytes);
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = gateway::http::request_head(&mut buf, 200);
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = gateway::http::response_head(&mut buf, 200, "GET");
        let _ = gateway::sse::EventReader::default().take(BytesMut::from(&bytes[..]));
    }
}
