import {runCli} from '@carobseam/cli.carobseam';

/** Runs a command and collects its results and progress. */
export async function captureCli(
  ...args: string[]
): Promise<{code: number; text: string}> {
  const lines: string[] = [];
  const write = (line: string) => void lines.push(line);
  const code = await runCli(args, {writeResult: write, writeProgress: write});
  return {code, text: lines.join('\n')};
}
