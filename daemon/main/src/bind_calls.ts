import {
  createAtMostOnce,
  type AtMostOnceComponents,
} from '@carobseam/calls.at_most_once';
import {CallServer} from '@carobseam/calls.proxy';
import {ReplicatedCrashMarkStore} from '@carobseam/calls.crash_marks';
import type {PauseDetector} from '@carobseam/core.clock';
import {AdminServer} from '@carobseam/daemon.admin';
import type {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import type {Container, ResolutionContext} from 'inversify';
import {
  bindSingleton,
  commonDependencies,
  settingsOf,
} from './container_helpers.js';
import {tokens} from './tokens.js';

/** Binds the objects that proxy calls, and the admin server. */
export function bindCalls(container: Container): void {
  bindSingleton(container, tokens.atMostOnce, context => {
    const {vmId, dataCentre} = settingsOf(context);
    return createAtMostOnce({
      vmId,
      dataCentre,
      pauseDetector: context.get<PauseDetector>(tokens.pauseDetector),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.crashMarkStore, createCrashMarkStore);
  bindSingleton(container, tokens.callServer, createCallServer);
  bindSingleton(container, tokens.adminServer, context => {
    const {vmId, dataCentre, admin, platform} = settingsOf(context);
    return new AdminServer({
      vmId,
      dataCentre,
      readersPerDataCentre: platform.readersPerDataCentre,
      address: admin.address,
      port: admin.port,
      drain: context.get<() => void>(tokens.requestStop),
      ...commonDependencies(context),
    });
  });
}

function createCrashMarkStore(
  context: ResolutionContext,
): ReplicatedCrashMarkStore {
  const noticeBroadcaster = context.get<TreeNoticeBroadcaster>(
    tokens.noticeBroadcaster,
  );
  const crashMarkStore = new ReplicatedCrashMarkStore({
    broadcaster: noticeBroadcaster,
    ...commonDependencies(context),
  });
  noticeBroadcaster.subscribe(notice => crashMarkStore.handleNotice(notice));
  return crashMarkStore;
}

function createCallServer(context: ResolutionContext): CallServer {
  const settings = settingsOf(context);
  const {vmId, dataCentre, service, callers, upstream} = settings;
  const {keyGuard, ownerChooser, keyIssuer} = context.get<AtMostOnceComponents>(
    tokens.atMostOnce,
  );
  return new CallServer({
    ...{vmId, dataCentre, service, upstream},
    address: callers.address,
    port: callers.port,
    shutdownTimeoutMs: settings.shutdownTimeoutMs,
    keyGuard,
    ownerChooser,
    issueKey: name => keyIssuer.issue(name),
    crashMarks: context.get<ReplicatedCrashMarkStore>(tokens.crashMarkStore),
    ...commonDependencies(context),
  });
}
