import {expect} from 'chai';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {captureCli} from './capture_cli.js';

const ENTRY = `
time=2026-12-04T11:18:05.100Z level=info event=source_lost vm=vm-1 cause="no response within 600 ms" revision=9 outcome="asks peers"
time=2026-12-04T11:18:09.100Z level=info event=request_placed vm=vm-1 id=a1 route=buy worker=i-4 reason=local expectedMs=40 leftMs=900 version=31
time=2026-12-04T11:18:09.146Z level=warn event=request_ended vm=vm-1 id=a1 route=buy reason=connection_lost durationMs=46 outcome=unknown
time=2026-12-04T11:18:09.200Z level=warn event=request_ended vm=vm-1 id=a10 route=buy reason=wouldBeLate durationMs=4 outcome=refused retryAfterMs=80
not a line of a relay
`;
const WORKER = `
time=2026-12-04T11:18:09.140Z level=warn event=gate_decision vm=vm-4 reason=connection_lost id=a1 outcome=unknown running=3 queued=0 serviceMs=40
time=2026-12-04T11:18:09.141Z level=info event=request_ended vm=vm-4 id=a1.c7 route=check durationMs=5 outcome=answered status=200 attempts=1
time=2026-12-04T11:18:09.500Z level=info event=log_lines_dropped vm=vm-4 lines=12
time=2026-12-04T11:18:09.600Z level=info event=vm_lost vm=vm-4 vmAddress=10.0.0.9
`;

const SILENT_ENTRY = `
time=2026-12-04T11:20:09.000Z level=info event=request_placed vm=vm-1 id=b1 route=read worker=i-4 reason=fastest expectedMs=40 leftMs=1490 version=31
time=2026-12-04T11:20:09.640Z level=warn event=attempt_failed vm=vm-1 attempt=unknown id=b1 worker=i-4 vmAddress=10.0.0.4 dataCentre=wien reason=silent durationMs=640 silentMs=601 interims=0 bytes=0 sends=1 offers=0 version=31 outcome=reportUnknown retryDenied=attempts
time=2026-12-04T11:20:09.641Z level=warn event=request_ended vm=vm-1 id=b1 route=read reason=silent durationMs=641 outcome=unknown
`;
const SILENT_WORKER = `
time=2026-12-04T11:20:09.720Z level=warn event=event_loop_delayed vm=vm-4 delayMs=610
time=2026-12-04T11:20:09.721Z level=warn event=gate_decision vm=vm-4 reason=senderLeft id=b1 outcome=unknown waitedMs=0 ranMs=690 leftAfterMs=690 interims=1 result=cancelled running=3 queued=0 serviceMs=40
time=2026-12-04T11:20:10.500Z level=warn event=event_loop_delayed vm=vm-4 delayMs=210
`;

const QUARANTINING = `
time=2026-12-05T18:05:06.000Z level=warn event=worker_crashed vm=vm-1 crashId=vm-1-x-1 inFlight=12
time=2026-12-05T18:05:06.400Z level=warn event=request_ended vm=vm-1 id=q1 route=read reason=quarantined durationMs=1 outcome=quarantined
`;

function writeLogs(texts = [ENTRY, WORKER]): string[] {
  const dir = mkdtempSync(path.join(tmpdir(), 'carobseam-logs-'));
  return texts.map((text, index) => {
    const file = path.join(dir, `relay-${index}.log`);
    writeFileSync(file, text);
    return file;
  });
}

describe('carobseam explain-request', () => {
  it('walks from the id to the cause over the logs of several relays', async () => {
    const {code, text} = await captureCli(
      'explain-request',
      'a1',
      ...writeLogs(),
    );
    expect(code).to.equal(0);
    expect(text.split('\n')[0]).to.equal(
      'request a1: Outcome unknown, it may have run: the worker or its relay ended the connection.',
    );
    expect(text).to.include('event=gate_decision');
    expect(text, 'a call of its worker').to.include('id=a1.c7');
    expect(text, 'what the relay believed').to.include('event=source_lost');
    expect(text, 'another request').to.not.include('id=a10');
    expect(text, 'after its end').to.not.include('event=vm_lost');
    expect(text).to.include('left out lines');
  });

  it('guards against a request that is refused for crashing workers without a reason', async () => {
    const {text} = await captureCli(
      'explain-request',
      'q1',
      ...writeLogs([QUARANTINING]),
    );
    expect(text.split('\n')[0]).to.include('Refused for good');
    expect(text).to.include('event=worker_crashed');
  });

  it('guards against leaving out a delay of the event loop that made a hop silent', async () => {
    const {text} = await captureCli(
      'explain-request',
      'b1',
      ...writeLogs([SILENT_ENTRY, SILENT_WORKER]),
    );
    expect(text.split('\n')[0]).to.include(
      'sent nothing, and no response could come',
    );
    expect(text).to.include('retryDenied=attempts');
    expect(text).to.include('reason=senderLeft');
    expect(text).to.include('delayMs=610');
    expect(text, 'began after its end').to.not.include('delayMs=210');
  });

  it('says why a request was refused', async () => {
    const {text} = await captureCli('explain-request', 'a10', ...writeLogs());
    expect(text).to.include('the queue was too long');
    expect(text).to.include('80 ms');
  });

  it('says that no line names a request', async () => {
    const {code, text} = await captureCli(
      'explain-request',
      'zz',
      ...writeLogs(),
    );
    expect(code).to.equal(1);
    expect(text).to.include('zz');
  });

  it('names a file that cannot be read', async () => {
    const {code, text} = await captureCli(
      'explain-request',
      'a1',
      '/nowhere/relay.log',
    );
    expect(code).to.equal(2);
    expect(text).to.include('/nowhere/relay.log');
  });
});
