//! Tests of publishing, spreading and stopping, on stand-ins.

mod publish;
