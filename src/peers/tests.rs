use super::*;

#[test]
fn response_frame_keeps_its_binary_layout() {
    let frame = Frame::Response(7, ApiResponse { status: 503, retry_after: 2, body: "{}".into() });
    let bytes = frame.encode();
    assert_eq!(bytes, b"CPT\x01\x02\0\0\0\x07\0\0\0\0\0\0\0\xf7\x01\x02\0\x04\0\0\0{}");
    let header = Frame::header(bytes[..HEADER_BYTES].try_into().unwrap()).unwrap();
    assert_eq!(Frame::decode(&header, bytes[HEADER_BYTES..].to_vec()), Ok(frame));
    let mut wrong: [u8; HEADER_BYTES] = bytes[..HEADER_BYTES].try_into().unwrap();
    wrong[7] = 0xff; // the length exceeds the limit
    assert!(Frame::header(&wrong).is_err());
    wrong = bytes[..HEADER_BYTES].try_into().unwrap();
    wrong[20] = 9;
    assert!(Frame::decode(&Frame::header(&wrong).unwrap(), vec![]).is_err());
}

/// Versions without admission tables know frame kinds 1 to 5 only. They decode a hello as a leader announcement with a
/// token that no leader has, and ignore it.
#[test]
fn a_hello_is_an_announcement_that_earlier_versions_read_and_ignore() {
    let hello = Frame::hello("n1");
    assert_eq!(hello.encode(), Frame::LeaderAnnouncement(0, "n1".into()).encode());
    assert!(hello.is_hello() && !Frame::LeaderAnnouncement(1, "n1".into()).is_hello());
    for frame in [Frame::AdmissionTable(vec![1, 2].into()), Frame::RefusedDemand(vec![3])] {
        let bytes = frame.encode();
        assert!(bytes[20] > 5, "the kind must be unknown to versions without admission tables");
        let header = Frame::header(bytes[..HEADER_BYTES].try_into().unwrap()).unwrap();
        assert_eq!(Frame::decode(&header, bytes[HEADER_BYTES..].to_vec()), Ok(frame));
    }
}
