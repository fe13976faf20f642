import {ManualClock} from '@carobseam/core.clock';
import {silentLogger, type LogFields} from '@carobseam/core.logger';
import {Metrics} from '@carobseam/core.metrics';
import {EventLoopMonitor} from '@carobseam/daemon.relay';
import {expect} from 'chai';

function startMonitor() {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const lines: Array<[string, LogFields | undefined]> = [];
  const warn = (event: string, fields?: LogFields) =>
    lines.push([event, fields]);
  const logger = {...silentLogger, warn};
  const monitor = new EventLoopMonitor({clock, logger, metrics});
  monitor.start();
  return {clock, metrics, lines, monitor};
}

describe('EventLoopMonitor', () => {
  it('guards against a lack of processor time that no line states', async () => {
    const {clock, metrics, lines} = startMonitor();
    clock.advance(1000);
    clock.jump(700);
    clock.advance(0);
    expect(lines).to.deep.equal([['event_loop_delayed', {delayMs: 450}]]);
    const {body} = await metrics.expose();
    expect(body).to.match(/event_loop_delay_seconds_bucket\{le="0.2"\} 4\n/);
    expect(body).to.match(/event_loop_delay_seconds_count 5\n/);
  });

  it('guards against lines while the process runs on time', () => {
    const {clock, lines} = startMonitor();
    clock.advance(10_000);
    clock.jump(250);
    clock.advance(10_000);
    expect(lines).to.deep.equal([]);
  });

  it('measures nothing after it was closed', async () => {
    const {clock, metrics, monitor} = startMonitor();
    monitor.close();
    clock.advance(1000);
    const {body} = await metrics.expose();
    expect(body).to.match(/event_loop_delay_seconds_count 0\n/);
  });
});
