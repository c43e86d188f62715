use super::*;

const FIELDS: [(&str, &str); 7] = [
    ("verb", "segment"),
    ("txn", "9b1f03aa5c7e2d41"),
    ("limit", "1500"),
    ("item", "7f3a9c21e0b4d655"),
    ("slice", "3"),
    ("set", "17"),
    ("ram", "25.435"),
];

fn frame(fields: &[(&str, &str)]) -> Vec<u8> {
    encode_head(REQUEST, 7, None, Some(fields), 0).to_vec()
}

#[test]
fn a_frame_is_parsed_once_it_is_complete() {
    let mut bytes = encode_head(REQUEST, 7, None, Some(&FIELDS), 3).to_vec();
    bytes.extend(b"abc");
    for cut in 0..bytes.len() {
        assert_eq!(parse_frame(&bytes[..cut]), Ok(None));
    }
    bytes.extend(b"more");
    let got = parse_frame(&bytes).unwrap().unwrap();
    assert_eq!(
        (got.frame_type, got.stream, HEAD_LENGTH + got.payload.len()),
        (REQUEST, 7, bytes.len() - 4)
    );
    let request = parse_request(got.payload, &IdentityFields::default()).unwrap();
    assert_eq!(
        (request.object, request.part, request.group),
        (0x7f3a_9c21_e0b4_d655, 3, 17)
    );
    assert_eq!(request.size_kb, 25.435);
    assert_eq!(
        (request.request_id.as_str(), request.body.as_slice()),
        ("9b1f03aa5c7e2d41", &b"abc"[..])
    );
}

#[test]
fn lengths_out_of_bounds_are_errors() {
    assert_eq!(
        parse_frame(&[4, 0, 0, 0]),
        Err(FrameError::LengthOutOfBounds(4))
    );
    assert_eq!(
        parse_frame(&[1, 0, 4, 0]),
        Err(FrameError::LengthOutOfBounds(262_145))
    );
}

#[test]
fn errors_name_the_invalid_field() {
    let error = |fields: &[(&str, &str)]| {
        parse_request(
            parse_frame(&frame(fields)).unwrap().unwrap().payload,
            &IdentityFields::default(),
        )
    };
    assert_eq!(error(&FIELDS[1..]), Err(FrameError::MissingField("verb")));
    for (at, value) in [
        (1, "9b1f"),
        (2, "soon"),
        (2, "-1"),
        (3, "zz3a9c21e0b4d655"),
        (4, "1.5"),
    ] {
        let mut fields = FIELDS;
        fields[at].1 = value;
        assert_eq!(
            error(&fields),
            Err(FrameError::UnreadableField(FIELDS[at].0))
        );
    }
    let complete = frame(&FIELDS);
    for cut in HEAD_LENGTH..complete.len() {
        assert_eq!(
            parse_request(&complete[HEAD_LENGTH..cut], &IdentityFields::default()),
            Err(FrameError::Truncated)
        );
    }
}
