use super::*;

#[test]
fn frames_come_out_as_they_went_in_however_they_are_cut() {
    rookpulley_samples::run_cases(200, 256, |u| {
        let values: Vec<Vec<u8>> = u.arbitrary()?;
        let wire: Vec<u8> = values.iter().flat_map(frame).collect();
        let (mut frames, mut out, mut at) = (Frames::default(), Vec::new(), 0);
        while at < wire.len() {
            let cut = u.int_in_range(1..=wire.len() - at)?;
            frames.push(&wire[at..at + cut]);
            at += cut;
            while let Some(value) = frames.take::<Vec<u8>>().unwrap() {
                out.push(value);
            }
        }
        assert_eq!(out, values);
        Ok(())
    });
}

#[test]
fn a_frame_too_long_is_refused_before_it_is_held() {
    let mut frames = Frames::default();
    frames.push(&u32::MAX.to_le_bytes());
    assert!(matches!(frames.take::<u8>(), Err(FrameError::TooLong(_))));
}
