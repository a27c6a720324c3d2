#!/usr/bin/env node
import process from 'node:process';
import {runCli} from './run-cli.ts';

process.exit(await runCli(process.argv.slice(2)));
