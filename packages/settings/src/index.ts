export {checkSettings, type SettingsProblem} from './check-settings.ts';
export {parseSettings} from './parse-settings.ts';
export {readSettings} from './read-settings.ts';
export {type Settings, settingsSchema} from './settings-schema.ts';
