import {
  CRASH_MARK_PATH,
  type CrashMarkServer,
} from '@carobseam/fleet.crash_mark_exchange';
import type {FeedServer} from '@carobseam/fleet.follower';
import type {RequestListener} from 'node:http';

/** Creates the handler of the control address, which other relays call. */
export function createControlHandler(
  feedServer: FeedServer,
  crashMarkServer: CrashMarkServer,
): RequestListener {
  return (request, response) => {
    const isMarks = request.url === CRASH_MARK_PATH;
    void (isMarks ? crashMarkServer : feedServer).handle(request, response);
  };
}
