use super::*;

#[test]
fn frames_are_reassembled_from_arbitrary_pieces() {
    rookpulley_samples::run_cases(200, 256, |u| {
        let values: Vec<Vec<u8>> = u.arbitrary()?;
        let wire: Vec<u8> = values.iter().flat_map(encode_frame).collect();
        let (mut frames, mut decoded, mut offset) = (FrameDecoder::default(), Vec::new(), 0);
        while offset < wire.len() {
            let length = u.int_in_range(1..=wire.len() - offset)?;
            frames.push(&wire[offset..offset + length]);
            offset += length;
            while let Some(value) = frames.decode_next::<Vec<u8>>().unwrap() {
                decoded.push(value);
            }
        }
        assert_eq!(decoded, values);
        Ok(())
    });
}

#[test]
fn oversized_frame_is_rejected_by_its_length_prefix() {
    let mut frames = FrameDecoder::default();
    frames.push(&u32::MAX.to_le_bytes());
    assert!(matches!(
        frames.decode_next::<u8>(),
        Err(FrameError::TooLong(_))
    ));
}
