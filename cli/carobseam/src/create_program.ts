import {Command, InvalidArgumentError} from 'commander';
import {checkCommand} from './check_command.js';
import type {CliOutput} from './cli_output.js';
import {diffCommand, type DiffOptions} from './diff_command.js';
import {drainCommand, type DrainOptions} from './drain_command.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {explainCommand, type ExplainOptions} from './explain_command.js';
import {
  explainRequestCommand,
  type ExplainRequestOptions,
} from './explain_request_command.js';
import {
  DEFAULT_KEEP_VERSIONS,
  renderCommand,
  type RenderOptions,
} from './render_command.js';
import {statusCommand, type StatusOptions} from './status_command.js';

const EXIT_CODES_HELP = `
Exit codes:
  0  done
  1  not fulfilled: nothing changed, a daemon does not respond, time is up
  2  bad input: arguments, declarations or files; the error names the remedy
`;

const KEY_PREFIX = [
  '--key-prefix <prefix>',
  'prefix of the platform keys',
  'carobseam',
] as const;

const DEFAULT_REQUEST_TIMEOUT_MS = 2000;
const DEFAULT_DRAIN_TIMEOUT_S = 60;

/** Options of `createProgram`. */
export interface CreateProgramOptions {
  output: CliOutput;
  /** Receives the exit code of the command. */
  finish: (code: ExitCode) => void;
}

/** Creates the command line. */
export function createProgram(options: CreateProgramOptions): Command {
  const program = new Command('carobseam')
    .description('Checks, renders and follows mesh configurations.')
    .configureOutput({
      writeOut: text => options.output.writeResult(text.trimEnd()),
      writeErr: text => options.output.writeProgress(text.trimEnd()),
      outputError: (text, write) => write(`${text.trim()}; see carobseam help`),
    })
    .exitOverride()
    .addHelpText('after', EXIT_CODES_HELP);
  addCheck(program, options);
  addRender(program, options);
  addDiff(program, options);
  addStatus(program, options);
  addExplain(program, options);
  addExplainRequest(program, options);
  addDrain(program, options);
  return program;
}

function addCheck(program: Command, options: CreateProgramOptions): void {
  program
    .command('check')
    .description('checks declarations as the daemons do, reports every problem')
    .argument('<dir>', 'directory of the declarations')
    .action((dir: string) => options.finish(checkCommand(dir, options.output)))
    .addHelpText(
      'after',
      example('carobseam check declarations') + EXIT_CODES_HELP,
    );
}

function addRender(program: Command, options: CreateProgramOptions): void {
  program
    .command('render')
    .description('writes the files of the next version for the publisher')
    .argument('<dir>', 'directory of the declarations')
    .requiredOption('--out <dir>', 'directory of the rendered files')
    .option(...KEY_PREFIX)
    .option(
      '--published <path>',
      'manifest file or rendered directory that is published now; for a fresh checkout',
    )
    .option(
      '--min-version <n>',
      'lowest number for the version; for a fresh checkout',
      parsePositive,
    )
    .option(
      '--keep-versions <n>',
      'versions whose packs stay in the directory for slow readers',
      parsePositive,
      DEFAULT_KEEP_VERSIONS,
    )
    .option('--allow-unchanged', 'renders also when nothing has changed')
    .action((dir: string, args: RenderOptions) =>
      options.finish(renderCommand(dir, args, options.output)),
    )
    .addHelpText(
      'after',
      example(
        'carobseam render declarations --out rendered',
        'carobseam render declarations --out rendered --published manifest.bin',
      ) + EXIT_CODES_HELP,
    );
}

function addDiff(program: Command, options: CreateProgramOptions): void {
  program
    .command('diff')
    .description('shows what changes between two configurations')
    .argument('<before>', 'rendered directory or declarations')
    .argument('<after>', 'rendered directory or declarations')
    .option(...KEY_PREFIX)
    .option('--json', 'writes one line of JSON')
    .option('--exit-code', 'exit code 1 when there are differences')
    .action((before: string, after: string, args: DiffOptions) =>
      options.finish(diffCommand(before, after, args, options.output)),
    )
    .addHelpText(
      'after',
      example(
        'carobseam diff rendered declarations',
        'carobseam diff rendered declarations --json',
      ) + EXIT_CODES_HELP,
    );
}

function addStatus(program: Command, options: CreateProgramOptions): void {
  program
    .command('status')
    .description('shows which VMs hold which version, who lags and why')
    .argument('<address...>', 'admin addresses, one daemon per data centre')
    .option('--json', 'writes one line of JSON')
    .option('--watch', 'follows changes until the timeout or an interrupt')
    .option(
      '--until <version>',
      'watches until the version is active everywhere',
      parsePositive,
    )
    .option(
      '--timeout <seconds>',
      'time for the watch (default: 60 with --until)',
      parsePositive,
    )
    .option('--asked-only', 'leaves out data centres that were not asked')
    .option(
      '--request-timeout <ms>',
      'time for one request',
      parsePositive,
      DEFAULT_REQUEST_TIMEOUT_MS,
    )
    .action(async (addresses: string[], args: StatusOptions) =>
      options.finish(await statusCommand(addresses, args, options.output)),
    )
    .addHelpText(
      'after',
      example(
        'carobseam status 127.0.0.1:7102',
        'carobseam status 10.1.0.5:7102 10.2.0.5:7102 --watch --until 42 --timeout 30',
      ) + EXIT_CODES_HELP,
    );
}

function addExplain(program: Command, options: CreateProgramOptions): void {
  program
    .command('explain')
    .description('shows where a call would go now and why not elsewhere')
    .argument('<address>', 'admin address of the entry daemon')
    .argument('<method>', 'method of the call')
    .argument('<path>', 'path of the call')
    .option('--json', 'writes one line of JSON')
    .option(
      '--request-timeout <ms>',
      'time for the request',
      parsePositive,
      DEFAULT_REQUEST_TIMEOUT_MS,
    )
    .action(
      async (
        address: string,
        method: string,
        path: string,
        args: ExplainOptions,
      ) => {
        const call = {address, method, path};
        options.finish(await explainCommand(call, args, options.output));
      },
    )
    .addHelpText(
      'after',
      example('carobseam explain 127.0.0.1:7102 GET /hints/reveal/7') +
        EXIT_CODES_HELP,
    );
}

function addExplainRequest(
  program: Command,
  options: CreateProgramOptions,
): void {
  program
    .command('explain-request')
    .description('shows from collected logs what became of a request')
    .argument('<id>', 'id of the request')
    .argument('<files...>', 'standard output of the relays')
    .option('--json', 'writes one line of JSON')
    .action((id: string, files: string[], args: ExplainRequestOptions) =>
      options.finish(explainRequestCommand(id, files, args, options.output)),
    )
    .addHelpText(
      'after',
      example('carobseam explain-request 9c41d07be2a35f68 relay-*.log') +
        EXIT_CODES_HELP,
    );
}

function addDrain(program: Command, options: CreateProgramOptions): void {
  program
    .command('drain')
    .description('stops a daemon gracefully')
    .argument('<address>', 'admin address of the daemon')
    .option('--wait', 'waits until the daemon has ended')
    .option(
      '--timeout <seconds>',
      'time for the wait',
      parsePositive,
      DEFAULT_DRAIN_TIMEOUT_S,
    )
    .option(
      '--request-timeout <ms>',
      'time for the request',
      parsePositive,
      DEFAULT_REQUEST_TIMEOUT_MS,
    )
    .action(async (address: string, args: DrainOptions) =>
      options.finish(await drainCommand(address, args, options.output)),
    )
    .addHelpText(
      'after',
      example('carobseam drain 127.0.0.1:7102 --wait') + EXIT_CODES_HELP,
    );
}

function example(...lines: string[]): string {
  return `\nExamples:\n${lines.map(line => `  $ ${line}\n`).join('')}`;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value >= 1) {
    return value;
  }
  throw new InvalidArgumentError('Use a positive integer.');
}

/** Exit code for what commander reports: help is done, the rest bad input. */
export function exitCodeOfUsage(commanderExitCode: number): ExitCode {
  return commanderExitCode === 0 ? exitCodes.done : exitCodes.badInput;
}
