#!/usr/bin/env -S node --max-semi-space-size=1
// The default of V8, three semi-spaces of 16 MB, would take most of the 64 MB for the control plane on a VM.
import process from 'node:process';
import {runCli} from './run-cli.ts';

process.exit(await runCli(process.argv.slice(2)));
