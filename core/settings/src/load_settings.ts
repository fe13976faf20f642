import {CarobseamError} from '@carobseam/core.errors';
import {readFileSync} from 'node:fs';
import {daemonSettingsSchema, type DaemonSettings} from './daemon_settings.js';
import {parseYaml} from './parse_yaml.js';

/**
 * Reads and validates a daemon's settings file.
 *
 * @throws CarobseamError `SETTINGS_UNREADABLE` or `SETTINGS_INVALID`.
 */
export function loadSettings(file: string): DaemonSettings {
  return parseYaml({
    text: readSettingsFile(file),
    source: file,
    schema: daemonSettingsSchema,
    code: 'SETTINGS_INVALID',
  });
}

function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new CarobseamError({
      code: 'SETTINGS_UNREADABLE',
      message: `cannot read settings file ${file}`,
      hint: 'pass an existing YAML file with --settings',
      cause: error,
    });
  }
}
